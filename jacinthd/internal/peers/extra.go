package peers

import (
	"time"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/relay"
)

// extra returns what this host tells another one beside the digest.
func (p *Group) extra(now time.Time, to string, direction relay.Direction) relay.Extra {
	return relay.Extra{
		Speeds:     p.Dispatcher.SpeedReports(now, to, direction),
		Admissions: p.Dispatcher.Admissions(now, to, direction),
	}
}

// mergeExtra takes in what another host has told beside its digest.
func (p *Group) mergeExtra(now time.Time, m peer.Digest) {
	p.Dispatcher.MergeSpeeds(now, m.Digest.From, m.Digest.ReportsToReceiver, m.Extra.Speeds)
}
