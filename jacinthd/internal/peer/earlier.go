package peer

import (
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/suspect"
)

// Builds before 0c2534b refuse a digest whose notices have fields that they don't know. They get
// it in the shape that they do know, without what targets say of being brittle.

type earlierDigest struct {
	_      struct{} `cbor:",toarray"`
	Digest earlierRelayDigest
}

type earlierRelayDigest struct {
	_                 struct{} `cbor:",toarray"`
	From              string
	ReportsToReceiver bool
	ConfigVersion     uint64
	Loads             []relay.TargetLoad
	SlotReports       []relay.SlotReport
	Uses              []relay.AdapterUse
	CopyStates        []relay.CopyState
	Suspects          []suspect.Sighting
	Notices           []earlierReport
}

type earlierReport struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Started int64
	Limit   float64
	Age     uint64
	Leaving bool
	Quiet   uint64
}

// earlier returns the digest in the shape of builds before 0c2534b.
func (d Digest) earlier() earlierDigest {
	r := d.Digest
	out := earlierRelayDigest{
		From: r.From, ReportsToReceiver: r.ReportsToReceiver, ConfigVersion: r.ConfigVersion, Loads: r.Loads, SlotReports: r.SlotReports,
		Uses: r.Uses, CopyStates: r.CopyStates, Suspects: r.Suspects,
	}
	for _, n := range r.Notices {
		out.Notices = append(out.Notices, earlierReportOf(n))
	}
	return earlierDigest{Digest: out}
}

func earlierReportOf(n notice.Report) earlierReport {
	return earlierReport{Target: n.Target, Started: n.Started, Limit: n.Limit, Age: n.Age, Leaving: n.Leaving, Quiet: n.Quiet}
}
