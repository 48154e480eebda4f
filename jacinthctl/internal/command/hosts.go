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

type hostsCommand struct{ queryCommand }

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

// A hostRow describes one host.
type hostRow struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	State   string         `json:"state"` // state in the platform's list; empty if the host isn't listed
	Leased  bool           `json:"leased"`
	Runners int            `json:"runners"`
	Config  uint64         `json:"config"` // configuration version in use at the last lease renewal; 0 if the host had none
}

// A regionRow summarizes the hosts with a lease in one region.
type regionRow struct {
	Region string `json:"region"`
	Hosts  int    `json:"hosts"`
	Config uint64 `json:"config"` // lowest configuration version in use
}

// A hostsReport holds all hosts and regions.
type hostsReport struct {
	Hosts   []hostRow   `json:"hosts"`
	Regions []regionRow `json:"regions"`
}

func (c *hostsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runQuery(ctx, f, &c.queryCommand, readHosts, func(w io.Writer, report hostsReport) {
		fmt.Fprintln(w, "NAME\tREGION\tZONE\tPEER\tSTATE\tLEASED\tRUNNERS\tCONFIG")
		for _, r := range report.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%s\n", r.Name, orDash(r.Region), orDash(r.Zone), formatAddress(r.Peer), orDash(r.State), r.Leased, r.Runners, formatVersion(r.Config))
		}
		fmt.Fprintln(w, "\nREGION\tHOSTS\tCONFIG")
		for _, r := range report.Regions {
			fmt.Fprintf(w, "%s\t%d\t%s\n", r.Region, r.Hosts, formatVersion(r.Config))
		}
	})
}

// readHosts returns the report of all hosts and regions.
func readHosts(ctx context.Context, s store.Store) (hostsReport, error) {
	rows, err := readHostRows(ctx, s)
	return hostsReport{Hosts: rows, Regions: regionRows(rows)}, err
}

// regionRows returns the regions that have hosts with a lease, sorted by name.
func regionRows(hosts []hostRow) []regionRow {
	regions := []regionRow{}
	for _, h := range hosts {
		if !h.Leased {
			continue
		}
		i, ok := slices.BinarySearchFunc(regions, h.Region, func(r regionRow, name string) int { return strings.Compare(r.Region, name) })
		if !ok {
			regions = slices.Insert(regions, i, regionRow{Region: h.Region, Config: h.Config})
		}
		regions[i].Hosts++
		regions[i].Config = min(regions[i].Config, h.Config)
	}
	return regions
}

// formatVersion returns the version in decimal, or a dash for 0.
func formatVersion(version uint64) string {
	if version == 0 {
		return orDash("")
	}
	return strconv.FormatUint(version, 10)
}

// readHostRows returns the hosts that have a lease, followed by those that only
// the platform lists.
func readHostRows(ctx context.Context, s store.Store) ([]hostRow, error) {
	leases, err := leaseObjects(ctx, s)
	if err != nil {
		return nil, err
	}
	states, err := listedStates(ctx, s, "host")
	if err != nil {
		return nil, err
	}
	tables, err := assignmentTables(ctx, s)
	if err != nil {
		return nil, err
	}
	ownedRunners := map[string]int{}
	for _, t := range tables {
		for _, row := range t.Rows {
			ownedRunners[row.Owner]++
		}
	}
	rows := []hostRow{}
	for _, l := range leases {
		rows = append(rows, hostRow{Name: l.Name, Region: l.Region, Zone: l.Zone, Peer: l.Peer, State: states[l.Name], Leased: true, Runners: ownedRunners[l.Name], Config: l.ConfigVersion})
		delete(states, l.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(states)) {
		rows = append(rows, hostRow{Name: name, State: states[name], Runners: ownedRunners[name]})
	}
	return rows, nil
}

// formatAddress returns the address, or a dash if it is not valid.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return orDash("")
	}
	return a.String()
}
