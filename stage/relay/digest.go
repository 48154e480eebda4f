package relay

import "github.com/cespare/xxhash/v2"

// A Mark stands for the name of a target in what hosts tell each other.
type TargetHash uint32

// HashTarget returns the mark of a target.
func HashTarget(target string) TargetHash { return TargetHash(xxhash.Sum64String(target)) }

// A Load is what hosts have to do with one target, and what they saw of it in the
// last second or two.
type TargetLoad struct {
	_             struct{} `cbor:",toarray"`
	Target        TargetHash
	InProgress    int // requests in progress
	PrefillTokens int // tokens of their prompts that aren't read yet
	Unreachable   int // hosts that could not connect to it
	Done          int // requests that ended
	Failed        int // those of them that failed, or had no answer in time
}

// add returns what two hosts have to do with the target of m.
func (l TargetLoad) add(m TargetLoad) TargetLoad { return l.sum(m, 1) }

// less returns l without the part m, which is of the same target.
func (l TargetLoad) less(m TargetLoad) TargetLoad { return l.sum(m, -1) }

func (l TargetLoad) sum(m TargetLoad, sign int) TargetLoad {
	return TargetLoad{
		Target: m.Target, InProgress: l.InProgress + sign*m.InProgress, PrefillTokens: l.PrefillTokens + sign*m.PrefillTokens, Unreachable: l.Unreachable + sign*m.Unreachable,
		Done: l.Done + sign*m.Done, Failed: l.Failed + sign*m.Failed,
	}
}

// none reports whether there is nothing to tell.
func (l TargetLoad) none() bool { return l == TargetLoad{Target: l.Target} }

// A Space is how many adapters a runner has place for, as its owner tells.
type SlotReport struct {
	_      struct{} `cbor:",toarray"`
	Runner TargetHash
	Spare  int    // negative where adapters wait for a place
	Closed bool   // no adapter can be had there for now
	Age    uint64 // milliseconds since the owner told
}

// A Use is the requests for one adapter on one runner. It goes to the runner's
// owner only.
type AdapterUse struct {
	_          struct{} `cbor:",toarray"`
	Owner      string
	Runner     string
	Model      string
	Adapter    string
	InProgress int // in progress
	Started    int // since the sender told last
}

// A Digest is what one host tells another.
type Digest struct {
	_                 struct{} `cbor:",toarray"`
	From              string
	ReportsToReceiver bool   // the sender reports to the receiver, and wants a digest in answer
	ConfigVersion     uint64 // version of the configuration in force at the sender
	Loads             []TargetLoad
	SlotReports       []SlotReport
	Uses              []AdapterUse
	CopyStates        []CopyState
}

// A Head is how far a host has come with one kind of the platform's objects.
type CopyState struct {
	_          struct{} `cbor:",toarray"`
	Kind       string
	Revision   uint64 // up to which its copy is complete
	LastChange uint64 // of the last change
	Age        uint64 // milliseconds since this was the newest state for sure
}

// A Path is the direction in which a digest goes.
type Direction uint8

// The directions. A digest that goes Down holds all that the sender knows but
// the receiver's part; one that doesn't, the parts of the sender and of those
// that report to it.
const (
	ToRelay    Direction = iota // to the host's relay, or from relay to relay
	ToReporter                  // in answer to a host that reports
)
