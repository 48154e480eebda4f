package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"

	"github.com/google/subcommands"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/host"
	"jacinthstage/stage/store"
)

type targetsCommand struct{ queryCommand }

func (*targetsCommand) Name() string     { return "targets" }
func (*targetsCommand) Synopsis() string { return "show the targets" }
func (*targetsCommand) Usage() string {
	return `targets -platform URL:
  Show each target of the configuration: service, address, region, availability
  zone, state in the platform's list (which lags), and for a runner its owner
  and the epoch of its fencing numbers.
`
}

// A targetRow describes one target.
type targetRow struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	State   string         `json:"state"` // state in the platform's list; empty if the target isn't listed
	Owner   string         `json:"owner,omitempty"`
	Epoch   uint32         `json:"epoch,omitempty"`
}

func (c *targetsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runQuery(ctx, f, &c.queryCommand, readTargets, func(w io.Writer, rows []targetRow) {
		fmt.Fprintln(w, "NAME\tSERVICE\tADDRESS\tREGION\tZONE\tSTATE\tOWNER\tEPOCH")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\t%s\t%d\n", r.Name, r.Service, r.Address, r.Region, r.Zone, orDash(r.State), orDash(r.Owner), r.Epoch)
		}
	})
}

// readTargets returns the targets of the newest configuration, sorted by name.
func readTargets(ctx context.Context, s store.Store) ([]targetRow, error) {
	config, err := archive.Read(ctx, s)
	if err != nil {
		return nil, err
	}
	states, err := listedStates(ctx, s, "target")
	if err != nil {
		return nil, err
	}
	tables, err := assignmentTables(ctx, s)
	if err != nil {
		return nil, err
	}
	assignments := map[string]host.Row{}
	for _, t := range tables {
		for _, row := range t.Rows {
			assignments[row.Runner] = row
		}
	}
	rows := []targetRow{}
	for _, name := range slices.Sorted(maps.Keys(config.Targets)) {
		t, assignment := config.Targets[name], assignments[name]
		rows = append(rows, targetRow{Name: name, Service: t.Service, Address: t.Address, Region: t.Region, Zone: t.Zone,
			State: states[name], Owner: assignment.Owner, Epoch: assignment.Epoch})
	}
	return rows, nil
}
