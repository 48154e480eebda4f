package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"jacinthstage/stage/store"
)

type leasesCommand struct{ reader }

func (*leasesCommand) Name() string     { return "leases" }
func (*leasesCommand) Synopsis() string { return "show the leases and who owns what" }
func (*leasesCommand) Usage() string {
	return `leases -platform URL:
  Show the hosts' leases with the number of renewals, and for each region the
  owners of its runners and of the weight store's permits. A lease whose number
  of renewals no longer grows has lapsed.
`
}

// A leasesAnswer is all leases and assignments.
type leasesAnswer struct {
	Leases []leaseRow `json:"leases"`
	Owners []ownerRow `json:"owners"`
}

// A leaseRow is one host's lease.
type leaseRow struct {
	Host        string `json:"host"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	Life        uint32 `json:"life"`
	Renewals    uint64 `json:"renewals"`
	Version     uint64 `json:"version"` // of the object
}

// An ownerRow says who owns one runner, or a region's permits.
type ownerRow struct {
	Region string `json:"region"`
	Item   string `json:"item"` // a runner's name, or permits
	Owner  string `json:"owner"`
	Epoch  uint32 `json:"epoch"`
	From   string `json:"from,omitempty"`
	Next   string `json:"next,omitempty"`
}

func (c *leasesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return list(ctx, f, &c.reader, ownership, func(w io.Writer, answer leasesAnswer) {
		fmt.Fprintln(w, "HOST\tREGION\tINCARNATION\tLIFE\tRENEWALS\tVERSION")
		for _, r := range answer.Leases {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", r.Host, r.Region, r.Incarnation, r.Life, r.Renewals, r.Version)
		}
		fmt.Fprintln(w, "\nITEM\tREGION\tOWNER\tEPOCH\tFROM\tNEXT")
		for _, r := range answer.Owners {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", r.Item, r.Region, dash(r.Owner), r.Epoch, dash(r.From), dash(r.Next))
		}
	})
}

func ownership(ctx context.Context, s store.Store) (leasesAnswer, error) {
	answer := leasesAnswer{Leases: []leaseRow{}, Owners: []ownerRow{}}
	held, err := leases(ctx, s)
	if err != nil {
		return answer, err
	}
	tables, err := assignments(ctx, s)
	if err != nil {
		return answer, err
	}
	for _, l := range held {
		answer.Leases = append(answer.Leases, leaseRow{Host: l.Name, Region: l.Region, Incarnation: l.Incarnation, Life: l.Generation, Renewals: l.Sequence, Version: l.version})
	}
	for _, t := range tables {
		answer.Owners = append(answer.Owners, ownerRow{Region: t.region, Item: "permits", Owner: t.Grantor.Name, Epoch: t.Grantor.Epoch})
		for _, r := range t.Rows {
			answer.Owners = append(answer.Owners, ownerRow{Region: t.region, Item: r.Runner, Owner: r.Owner, Epoch: r.Epoch, From: r.PreviousOwner, Next: r.NextOwner})
		}
	}
	return answer, nil
}
