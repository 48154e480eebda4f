package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"jacinthstage/stage/store"
)

type hostsCommand struct{ reader }

func (*hostsCommand) Name() string     { return "hosts" }
func (*hostsCommand) Synopsis() string { return "show the hosts" }
func (*hostsCommand) Usage() string {
	return `hosts -platform URL:
  Show each host that has a lease or stands in the platform's list: region,
  availability zone, peer address, state in the list (which lags), the number
  of runners that it owns, and the configuration version in force at its last
  renewal. Then the lowest of these versions in each region.
`
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
	Config  uint64         `json:"config"` // version in force at the last renewal, 0 where none is known
}

// A regionRow is the hosts with a lease in one region.
type regionRow struct {
	Region string `json:"region"`
	Hosts  int    `json:"hosts"`
	Config uint64 `json:"config"` // lowest version in force
}

// A hostsAnswer is all hosts and regions.
type hostsAnswer struct {
	Hosts   []hostRow   `json:"hosts"`
	Regions []regionRow `json:"regions"`
}

func (c *hostsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return list(ctx, f, &c.reader, allHosts, func(w io.Writer, answer hostsAnswer) {
		fmt.Fprintln(w, "NAME\tREGION\tZONE\tPEER\tSTATE\tLEASED\tRUNNERS\tCONFIG")
		for _, r := range answer.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%s\n", r.Name, dash(r.Region), dash(r.Zone), address(r.Peer), dash(r.State), r.Leased, r.Runners, number(r.Config))
		}
		fmt.Fprintln(w, "\nREGION\tHOSTS\tCONFIG")
		for _, r := range answer.Regions {
			fmt.Fprintf(w, "%s\t%d\t%s\n", r.Region, r.Hosts, number(r.Config))
		}
	})
}

func allHosts(ctx context.Context, s store.Store) (hostsAnswer, error) {
	rows, err := hostRows(ctx, s)
	return hostsAnswer{Hosts: rows, Regions: regionRows(rows)}, err
}

// regionRows returns the regions of the hosts with a lease, by name.
func regionRows(hosts []hostRow) []regionRow {
	regions := []regionRow{}
	for _, h := range hosts {
		if !h.Leased {
			continue
		}
		at, ok := slices.BinarySearchFunc(regions, h.Region, func(r regionRow, name string) int { return strings.Compare(r.Region, name) })
		if !ok {
			regions = slices.Insert(regions, at, regionRow{Region: h.Region, Config: h.Config})
		}
		regions[at].Hosts++
		regions[at].Config = min(regions[at].Config, h.Config)
	}
	return regions
}

// number returns a version, a dash for 0.
func number(version uint64) string {
	if version == 0 {
		return dash("")
	}
	return strconv.FormatUint(version, 10)
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
		rows = append(rows, hostRow{Name: l.Name, Region: l.Region, Zone: l.Zone, Peer: l.Peer, State: listed[l.Name], Leased: true, Runners: owned[l.Name], Config: l.ConfigVersion})
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
