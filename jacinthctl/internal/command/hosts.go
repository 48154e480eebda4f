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

	"jacinthstage/jacinthd/store"
)

type hostsCommand struct {
	output
	platform
}

func (*hostsCommand) Name() string     { return "hosts" }
func (*hostsCommand) Synopsis() string { return "show the hosts" }
func (*hostsCommand) Usage() string {
	return `hosts -platform URL:
  Show each host that has a lease or stands in the platform's list: region,
  availability zone, peer address, state in the list (which lags), and the
  number of runners that it owns.
`
}

func (c *hostsCommand) SetFlags(f *flag.FlagSet) {
	c.platform.flags(f)
	c.jsonFlag(f)
}

// A hostRow is one host.
type hostRow struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	State   string         `json:"state"` // in the platform's list, empty where it isn't listed
	Leased  bool           `json:"leased"`
	Runners int            `json:"runners"`
}

func (c *hostsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.usage("hosts: no arguments")
	}
	s, err := c.open()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	rows, err := hostRows(ctx, s)
	if err != nil {
		return c.fail(err)
	}
	return c.print(rows, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tREGION\tZONE\tPEER\tSTATE\tLEASED\tRUNNERS")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%d\n", r.Name, dash(r.Region), dash(r.Zone), address(r.Peer), dash(r.State), r.Leased, r.Runners)
		}
	})
}

func hostRows(ctx context.Context, s store.Store) ([]hostRow, error) {
	held, err := leases(ctx, s)
	if err != nil {
		return nil, err
	}
	listed, err := presence(ctx, s, "host")
	if err != nil {
		return nil, err
	}
	tables, err := assignments(ctx, s)
	if err != nil {
		return nil, err
	}
	owned := map[string]int{}
	for _, t := range tables {
		for _, row := range t.Rows {
			owned[row.Owner]++
		}
	}
	rows := []hostRow{}
	for _, l := range held {
		rows = append(rows, hostRow{Name: l.Name, Region: l.Region, Zone: l.Zone, Peer: l.Peer, State: listed[l.Name], Leased: true, Runners: owned[l.Name]})
		delete(listed, l.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		rows = append(rows, hostRow{Name: name, State: listed[name], Runners: owned[name]})
	}
	return rows, nil
}

// address returns an address, a dash where there is none.
func address(a netip.AddrPort) string {
	if !a.IsValid() {
		return dash("")
	}
	return a.String()
}
