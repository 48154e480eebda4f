package peers

import (
	"time"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/relay"
)

// extra returns what this host tells another one beside the digest. The other one gets it at most
// once.
func (p *Group) extra(now time.Time, to string, direction relay.Direction) relay.Extra {
	out := relay.Extra{
		Speeds:     p.Dispatcher.SpeedReports(now, to, direction),
		Admissions: p.Dispatcher.Admissions(now, to, direction),
	}
	if p.Quotas != nil {
		out.Quotas = p.Quotas.Reports(boottime.Now(), p.quotaRoute(to, direction))
	}
	return out
}

// quotaRoute returns what goes to a host: to a reporter what is for it, to this host's relay all,
// and to other relays what is for them and for those that report to them.
func (p *Group) quotaRoute(to string, direction relay.Direction) quota.Route {
	receiver := quota.HashHost(to)
	set := p.peerSet.Load()
	switch {
	case direction == relay.ToReporter || set == nil:
		return quota.Route{Relays: true, Passes: func(h quota.Host) bool { return h == receiver }}
	case p.relayName() != "":
		return quota.Route{Passes: func(quota.Host) bool { return true }}
	}
	return quota.Route{Relays: true, Passes: func(h quota.Host) bool {
		name := set.names[h]
		hop := set.roster.RelayOf(name, p.unreachable)
		return name == to || hop == to
	}}
}

// mergeExtra takes in the speeds and quotas that another host has told beside its digest. What it
// told of admissions counts like its loads, see applyDigest.
func (p *Group) mergeExtra(now time.Time, m peer.Digest) {
	p.Dispatcher.MergeSpeeds(now, m.Digest.From, m.Digest.ReportsToReceiver, m.Extra.Speeds)
	if p.Quotas != nil && len(m.Extra.Quotas) > 0 {
		p.Quotas.Receive(boottime.Now(), m.Extra.Quotas)
	}
}
