package process

import (
	"net/netip"

	"jacinthstage/jacinthd/internal/configsync"
)

// findPeer returns the peer address of a host that is a member of any region or is
// configured as a seed.
func (p *Process) findPeer(name string) (netip.AddrPort, bool) {
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

// regionPeers returns the members of this region to which this host reports its
// configuration version.
func (p *Process) regionPeers() []string {
	var names []string
	for _, m := range p.loop.Peers() {
		if p.loop.RegionOf(m.Name) == p.settings.Host.Region {
			names = append(names, m.Name)
		}
	}
	return configsync.SuccessorsOf(p.settings.Host.Name, names)
}

// seedNames returns the names of the other seed hosts, which are asked for the
// configuration when the object API can't be read.
func (p *Process) seedNames() []string {
	var names []string
	for _, s := range p.settings.Peers.Seeds {
		if s.Name != p.settings.Host.Name {
			names = append(names, s.Name)
		}
	}
	return names
}
