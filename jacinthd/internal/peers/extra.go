package peers

import (
	"time"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/relay"
)

// extra returns what this host tells another one beside the digest.
func (p *Group) extra(now time.Time, to string, direction relay.Direction) relay.Extra {
	return relay.Extra{Admissions: p.Dispatcher.Admissions(now, to, direction)}
}

// mergeExtra takes in what another host has told beside its digest.
func (p *Group) mergeExtra(_ time.Time, _ peer.Digest) {}
