package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"jacinthstage/stage/store"
)

type leasesCommand struct{ queryCommand }

func (*leasesCommand) Name() string     { return "leases" }
func (*leasesCommand) Synopsis() string { return "show the leases and who owns what" }
func (*leasesCommand) Usage() string {
	return `leases -platform URL:
  Show the hosts' leases with the number of renewals, and for each region the
  owners of its runners and of the weight store's permits. A lease whose number
  of renewals no longer grows has lapsed.
`
}

// A leasesReport holds all leases and assignments.
type leasesReport struct {
	Leases []leaseRow `json:"leases"`
	Owners []ownerRow `json:"owners"`
}

// A leaseRow describes the lease of one host.
type leaseRow struct {
	Host        string `json:"host"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	Life        uint32 `json:"life"`
	Renewals    uint64 `json:"renewals"`
	Version     uint64 `json:"version"` // version of the lease object
}

// An ownerRow describes the ownership of one runner or of a region's permits.
type ownerRow struct {
	Region string `json:"region"`
	Item   string `json:"item"` // name of the runner, or "permits"
	Owner  string `json:"owner"`
	Epoch  uint32 `json:"epoch"`
	From   string `json:"from,omitempty"`
	Next   string `json:"next,omitempty"`
}

func (c *leasesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runQuery(ctx, f, &c.queryCommand, readLeases, func(w io.Writer, report leasesReport) {
		fmt.Fprintln(w, "HOST\tREGION\tINCARNATION\tLIFE\tRENEWALS\tVERSION")
		for _, r := range report.Leases {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", r.Host, r.Region, r.Incarnation, r.Life, r.Renewals, r.Version)
		}
		fmt.Fprintln(w, "\nITEM\tREGION\tOWNER\tEPOCH\tFROM\tNEXT")
		for _, r := range report.Owners {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", r.Item, r.Region, orDash(r.Owner), r.Epoch, orDash(r.From), orDash(r.Next))
		}
	})
}

// readLeases reads the leases and assignments of all regions.
func readLeases(ctx context.Context, s store.Store) (leasesReport, error) {
	report := leasesReport{Leases: []leaseRow{}, Owners: []ownerRow{}}
	objects, err := leaseObjects(ctx, s)
	if err != nil {
		return report, err
	}
	tables, err := assignmentTables(ctx, s)
	if err != nil {
		return report, err
	}
	for _, l := range objects {
		report.Leases = append(report.Leases, leaseRow{Host: l.Name, Region: l.Region, Incarnation: l.Incarnation, Life: l.Generation, Renewals: l.Sequence, Version: l.version})
	}
	for _, t := range tables {
		report.Owners = append(report.Owners, ownerRow{Region: t.region, Item: "permits", Owner: t.Grantor.Name, Epoch: t.Grantor.Epoch})
		for _, r := range t.Rows {
			report.Owners = append(report.Owners, ownerRow{Region: t.region, Item: r.Runner, Owner: r.Owner, Epoch: r.Epoch, From: r.PreviousOwner, Next: r.NextOwner})
		}
	}
	return report, nil
}
