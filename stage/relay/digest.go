package relay

import "github.com/cespare/xxhash/v2"

// A Mark stands for the name of a target in what hosts tell each other.
type Mark uint32

// Of returns the mark of a target.
func Of(target string) Mark { return Mark(xxhash.Sum64String(target)) }

// A Load is what hosts have to do with one target, and what they saw of it in the
// last second or two.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Target Mark
	Open   int // requests in progress
	Unread int // tokens of their prompts that aren't read yet
	Lost   int // hosts that could not connect to it
	Done   int // requests that ended
	Failed int // those of them that failed, or had no answer in time
}

// add returns what two hosts have to do with the target of m.
func (l Load) add(m Load) Load { return l.sum(m, 1) }

// less returns l without the part m, which is of the same target.
func (l Load) less(m Load) Load { return l.sum(m, -1) }

func (l Load) sum(m Load, sign int) Load {
	return Load{
		Target: m.Target, Open: l.Open + sign*m.Open, Unread: l.Unread + sign*m.Unread, Lost: l.Lost + sign*m.Lost,
		Done: l.Done + sign*m.Done, Failed: l.Failed + sign*m.Failed,
	}
}

// none reports whether there is nothing to tell.
func (l Load) none() bool { return l == Load{Target: l.Target} }

// A Space is how many adapters a runner has place for, as its owner tells.
type Space struct {
	_      struct{} `cbor:",toarray"`
	Runner Mark
	Spare  int    // negative where adapters wait for a place
	Closed bool   // no adapter can be had there for now
	Age    uint64 // milliseconds since the owner told
}

// A Use is the requests for one adapter on one runner. It goes to the runner's
// owner only.
type Use struct {
	_       struct{} `cbor:",toarray"`
	Owner   string
	Runner  string
	Model   string
	Adapter string
	Open    int // in progress
	Begun   int // since the sender told last
}

// A Digest is what one host tells another.
type Digest struct {
	_      struct{} `cbor:",toarray"`
	From   string
	Below  bool   // the sender reports to the receiver, and wants a digest in answer
	Config uint64 // version of the configuration in force at the sender
	Loads  []Load
	Spaces []Space
	Uses   []Use
	Heads  []Head
}

// A Head is how far a host has come with one kind of the platform's objects.
type Head struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Revision uint64 // up to which its copy is complete
	Changed  uint64 // of the last change
	Age      uint64 // milliseconds since this was the newest state for sure
}

// A Path is the direction in which a digest goes.
type Path uint8

// The directions. A digest that goes Down holds all that the sender knows but
// the receiver's part; one that doesn't, the parts of the sender and of those
// that report to it.
const (
	Over Path = iota // to the host's relay, or from relay to relay
	Down             // in answer to a host that reports
)
