package peer

import (
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/suspect"
)

// A plainDigest is a digest without Extra: nearly all of them, and those of builds that know none.
// It has the shape of version 2 of the protocol and before.
type plainDigest struct {
	_      struct{} `cbor:",toarray"`
	Digest relay.Digest
}

// arrayOfOne is the first byte of an encoded array with one element.
const arrayOfOne = 0x81

// decodePlain decodes the body of a Digest without Extra. It returns false if kind is another one
// or the body doesn't have exactly this build's shape.
func decodePlain(kind Message, body []byte) (Digest, bool) {
	if _, ok := kind.(Digest); !ok || len(body) == 0 || body[0] != arrayOfOne {
		return Digest{}, false
	}
	var d plainDigest
	if decMode.Unmarshal(body, &d) != nil {
		return Digest{}, false
	}
	return Digest{Digest: d.Digest}, true
}

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
