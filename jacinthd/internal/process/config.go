package process

import (
	"net/netip"

	"jacinthstage/jacinthd/internal/configsync"
)

// find returns a host's peer address: a member's, or a seed's.
func (p *Process) find(name string) (netip.AddrPort, bool) {
	for _, m := range p.loop.Peers() {
		if m.Name == name {
			return m.Peer, true
		}
	}
	for _, s := range p.settings.Peers.Seeds {
		if s.Name == name {
			return s.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// ring returns the members of this region that this host tells its version.
func (p *Process) ring() []string {
	var names []string
	for _, m := range p.loop.Peers() {
		if p.loop.RegionOf(m.Name) == p.settings.Host.Region {
			names = append(names, m.Name)
		}
	}
	return configsync.SuccessorsOf(p.settings.Host.Name, names)
}

// seeds returns the names of the hosts to ask where the object API can't be read.
func (p *Process) seeds() []string {
	var names []string
	for _, s := range p.settings.Peers.Seeds {
		if s.Name != p.settings.Host.Name {
			names = append(names, s.Name)
		}
	}
	return names
}
