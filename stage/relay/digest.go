package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/notice"
	"jacinthstage/stage/suspect"
)

// A TargetHash identifies a target by the hash of its name in the digests that
// hosts exchange.
type TargetHash uint32

// HashTarget returns the hash of a target's name.
func HashTarget(target string) TargetHash { return TargetHash(xxhash.Sum64String(target)) }

// A TargetLoad is the load that hosts put on one target, and what they observed of
// it in the last second or two.
type TargetLoad struct {
	_             struct{} `cbor:",toarray"`
	Target        TargetHash
	InProgress    int // requests in progress
	PrefillTokens int // tokens of their prompts that are not processed yet
	Unreachable   int // hosts that could not connect to it
	Done          int // requests that ended
	Failed        int // those of them that failed, or had no answer in time
}

// add returns the sum of the loads that two hosts put on the target of m.
func (l TargetLoad) add(m TargetLoad) TargetLoad { return l.combine(m, 1) }

// subtract returns l without its part m, which is of the same target.
func (l TargetLoad) subtract(m TargetLoad) TargetLoad { return l.combine(m, -1) }

func (l TargetLoad) combine(m TargetLoad, sign int) TargetLoad {
	return TargetLoad{
		Target: m.Target, InProgress: l.InProgress + sign*m.InProgress, PrefillTokens: l.PrefillTokens + sign*m.PrefillTokens, Unreachable: l.Unreachable + sign*m.Unreachable,
		Done: l.Done + sign*m.Done, Failed: l.Failed + sign*m.Failed,
	}
}

// isZero reports whether all counts are zero, so that there is nothing to report.
// maxCount is the largest number in a load that counts: sums of such numbers over all hosts stay
// far from the limits of integers, whatever a digest says.
const maxCount = 1 << 31

// bounded returns the load with all its numbers from 0 to maxCount.
func (l TargetLoad) bounded() TargetLoad {
	for _, n := range []*int{&l.InProgress, &l.PrefillTokens, &l.Unreachable, &l.Done, &l.Failed} {
		*n = min(max(*n, 0), maxCount)
	}
	return l
}

func (l TargetLoad) isZero() bool { return l == TargetLoad{Target: l.Target} }

// A SlotReport is the number of adapters that a runner has room for, as its owner
// reports it.
type SlotReport struct {
	_      struct{} `cbor:",toarray"`
	Runner TargetHash
	Spare  int    // spare slots; negative where adapters wait for a slot
	Closed bool   // no adapter can be loaded there for now
	Age    uint64 // milliseconds since the owner reported
}

// An AdapterUse is the requests for one adapter on one runner. It is sent to the
// runner's owner only.
type AdapterUse struct {
	_          struct{} `cbor:",toarray"`
	Owner      string
	Runner     string
	Model      string
	Adapter    string
	InProgress int // requests in progress
	Started    int // requests started since the sender's last report
}

// A Digest is what one host reports to another.
type Digest struct {
	_                 struct{} `cbor:",toarray"`
	From              string
	ReportsToReceiver bool   // the sender reports to the receiver, and wants a digest in answer
	ConfigVersion     uint64 // version of the configuration in force at the sender
	Loads             []TargetLoad
	SlotReports       []SlotReport
	Uses              []AdapterUse
	CopyStates        []CopyState
	Suspects          []suspect.Sighting
	Notices           []notice.Report
}

// A CopyState describes how recent a host's copy of one kind of the platform's
// objects is.
type CopyState struct {
	_          struct{} `cbor:",toarray"`
	Kind       string
	Revision   uint64 // revision up to which the copy is complete
	LastChange uint64 // revision of the last change
	Age        uint64 // milliseconds since the copy was known to be the newest state
}

// Newer returns those of the states that are more recent than what is known of the same kind.
func Newer(states, known []CopyState) []CopyState {
	ages := make(map[string]uint64, len(known))
	for _, s := range known {
		ages[s.Kind] = s.Age
	}
	return slices.DeleteFunc(slices.Clone(states), func(s CopyState) bool {
		age, ok := ages[s.Kind]
		return ok && s.Age >= age
	})
}

// A Direction is the direction in which a digest is sent.
type Direction uint8

// The directions. A digest sent ToReporter holds all that the sender knows except
// the receiver's part. One sent ToRelay holds the parts of the sender and of the
// hosts that report to it.
const (
	ToRelay    Direction = iota // to the host's relay, or from relay to relay
	ToReporter                  // in answer to a host that reports
)
