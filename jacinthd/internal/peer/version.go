package peer

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// A Version is what a peer said of its program when a connection was opened.
type Version struct {
	// Protocol is the version of the protocol that both speak.
	Protocol string
	// Build is the commit of the peer's program, empty if it doesn't tell.
	Build string
}

// First reports whether a peer speaks the first version of the protocol: it refuses messages of
// which it doesn't know all fields.
func (v Version) First() bool { return v.Protocol == firstProtocol }

func versionOf(conn *quic.Conn) Version {
	state := conn.ConnectionState().TLS
	v := Version{Protocol: state.NegotiatedProtocol}
	if units := state.PeerCertificates[0].Subject.OrganizationalUnit; len(units) > 0 {
		v.Build = units[0]
	}
	return v
}

// versions holds the versions of peers by name.
type versions struct{ known sync.Map }

// learn records the version of a peer, and reports whether it is another one than before.
func (v *versions) learn(name string, is Version) (changed bool) {
	before, known := v.known.Swap(name, is)
	return !known || before != is
}

// Version returns the version of a peer. It is the zero value if none has been connected.
func (l *Link) Version(name string) Version {
	v, _ := l.versions.known.Load(name)
	is, _ := v.(Version)
	return is
}

// connected records the version of a peer with which a connection was opened.
func (l *Link) connected(name string, conn *quic.Conn) {
	if v := versionOf(conn); l.versions.learn(name, v) && l.OnVersion != nil {
		l.OnVersion(name, v)
	}
}
