package patch

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SnapshotInterval is the number of patches between snapshots.
	SnapshotInterval = 100

	maxTail    = 2 * SnapshotInterval   // patches kept to hand on to peers
	maxKept    = 4 << 20                // bytes of those patches
	maxPending = SnapshotInterval       // patches kept that came before their turn
	gapWait    = time.Second            // between two readings for one gap
	askWait    = 2 * time.Second        // before a peer that is ahead is asked, and between asks
	saveSpread = 30 * time.Second       // over which the hosts' turns to write a snapshot are spread
	saveGrain  = 100 * time.Millisecond // between two hosts' turns
)

// A Log is one host's copy of the accepted patches: it applies them in order
// and says when a snapshot is due. The zero value is at version 0 and follows
// a store that is empty. It isn't safe for concurrent use.
//
// Nothing is in force until the host knows that it is up to date: until a
// listing of the object API was complete or, while that can't be read, as many
// patches as any peer has told of came from peers. So a restarted host doesn't
// put in force a version that its region has left behind.
//
// A stored patch that doesn't apply changes nothing and keeps its number; all
// hosts treat it alike.
type Log struct {
	Host string // this host's name, which sets its turn to write snapshots

	config  *Config // newest configuration; nil before the first patch or snapshot
	started bool    // whether config is in force
	alone   bool    // whether the object API can't be read
	tail    []StoredPatch
	kept    int // bytes of tail
	pending map[uint64][]byte
	gap     time.Time   // before this no further reading for a gap
	ahead   PeerVersion // the highest version that a peer has told
	ask     time.Time   // when to ask that peer
	saved   uint64      // version of the newest snapshot known
	due     *Config     // what to write as a snapshot, nil if nothing
	turn    time.Time   // when to write it
}

// An Accepted is one patch as its object holds it.
type StoredPatch struct {
	Number uint64 `json:"number"`
	Data   []byte `json:"data"`
}

// An Event is what a Log is told: Found, Loaded, Handed, Listed, Unreadable, Told, Saved or Tick.
type Event interface{ event() }

// ReceivedPatch says that patch Number was accepted, with its object's value. It may
// come twice and in any order.
type ReceivedPatch struct{ StoredPatch }

// SnapshotLoaded says that a snapshot was read from the object API.
type SnapshotLoaded struct{ Config *Config }

// SnapshotReceived says that a snapshot was read from a peer.
type SnapshotReceived struct{ Config *Config }

// ListingComplete says that all patches up to the newest were given as Found.
type ListingComplete struct{}

// StoreUnavailable says that the object API couldn't be read.
type StoreUnavailable struct{}

// PeerVersion says that a peer has Version in force.
type PeerVersion struct {
	Peer    string
	Version uint64
}

// SnapshotSaved says that the snapshot of Version exists.
type SnapshotSaved struct{ Version uint64 }

// Tick says that time has passed; a Log wants one each second or so.
type Tick struct{}

func (ReceivedPatch) event()    {}
func (SnapshotLoaded) event()   {}
func (SnapshotReceived) event() {}
func (ListingComplete) event()  {}
func (StoreUnavailable) event() {}
func (PeerVersion) event()      {}
func (SnapshotSaved) event()    {}
func (Tick) event()             {}

// An Action is what a Log wants done: Enforce, Void, Clash, Reread, Ask or Save.
type Action interface{ action() }

// Activate says that a configuration is in force.
type Activate struct{ Config *Config }

// InvalidPatch says that patch Number changes nothing since it doesn't apply.
type InvalidPatch struct {
	Number uint64
	Err    error
}

// ConflictingPatch says that patch Number came with another value than before: the
// object API or a peer is at fault. The first value stays.
type ConflictingPatch struct{ Number uint64 }

// ListPatches says that patches behind After are missing: list them again.
type ListPatches struct{ After uint64 }

// QueryPeer says to ask a peer for the patches behind After.
type QueryPeer struct {
	Peer  string
	After uint64
}

// SaveSnapshot says to write a snapshot, unless it exists, and to tell by Saved.
type SaveSnapshot struct{ Config *Config }

func (Activate) action()         {}
func (InvalidPatch) action()     {}
func (ConflictingPatch) action() {}
func (ListPatches) action()      {}
func (QueryPeer) action()        {}
func (SaveSnapshot) action()     {}

// ActiveVersion returns the version in force, 0 where none is.
func (l *Log) ActiveVersion() uint64 {
	if !l.started {
		return 0
	}
	return l.newest().Version
}

// LatestConfig returns the newest configuration, in force or not.
func (l *Log) LatestConfig() *Config { return l.newest() }

func (l *Log) newest() *Config {
	if l.config == nil {
		l.config = &Config{}
	}
	return l.config
}

// Step takes one event and returns what is to be done. It panics on an event
// of an unknown type.
func (l *Log) Step(now time.Time, event Event) []Action {
	before := l.ActiveVersion()
	started := l.started
	var actions []Action
	switch x := event.(type) {
	case ReceivedPatch:
		actions = l.found(now, x)
	case SnapshotLoaded:
		l.save(x.Config.Version)
		l.alone = false
		actions = l.replace(now, x.Config)
	case SnapshotReceived:
		actions = l.replace(now, x.Config)
	case ListingComplete:
		l.started, l.alone, l.pending = true, false, nil
	case StoreUnavailable:
		l.unreadable(now)
	case PeerVersion:
		l.told(now, x)
	case SnapshotSaved:
		l.save(x.Version)
	case Tick:
		actions = l.tick(now)
	default:
		panic(fmt.Sprintf("patch: unknown event %T", event))
	}
	l.start()
	if l.started && (!started || l.ActiveVersion() > before) {
		actions = append(actions, Activate{Config: l.newest()})
	}
	return actions
}

// start puts the configuration in force without the object API once it is as
// new as any peer has told.
func (l *Log) start() {
	if l.alone && l.ahead.Version > 0 && l.newest().Version >= l.ahead.Version {
		l.started = true
	}
}

func (l *Log) found(now time.Time, f ReceivedPatch) []Action {
	next := l.newest().Version + 1
	switch {
	case f.Number < next:
		return l.compare(f.StoredPatch)
	case f.Number > next:
		return l.hold(now, f.StoredPatch)
	}
	actions := l.apply(now, f.StoredPatch)
	return append(actions, l.drain(now)...)
}

// drain applies the patches that came before their turn.
func (l *Log) drain(now time.Time) (actions []Action) {
	for {
		next := l.newest().Version + 1
		data, ok := l.pending[next]
		if !ok {
			return actions
		}
		delete(l.pending, next)
		actions = append(actions, l.apply(now, StoredPatch{next, data})...)
	}
}

// apply applies the next patch.
func (l *Log) apply(now time.Time, a StoredPatch) (actions []Action) {
	config, err := l.newest().accept(a)
	if err != nil {
		actions = append(actions, InvalidPatch{Number: a.Number, Err: err})
	}
	l.config = config
	l.keep(a)
	l.schedule(now)
	return actions
}

// accept returns the configuration that the stored patch makes, the same one
// under the next number where the patch doesn't apply.
func (c *Config) accept(a StoredPatch) (*Config, error) {
	p, err := Decode(a.Data)
	if err == nil && p.Number != a.Number {
		err = &Refusal{Item: ItemPatch, Name: fmt.Sprint(a.Number), Reason: fmt.Sprintf("its object holds number %d", p.Number)}
	}
	if err == nil {
		next, refused := c.Apply(p)
		if refused == nil {
			return next, nil
		}
		err = refused
	}
	same := *c
	same.Version = a.Number
	return &same, err
}

// ApplyStored returns the configuration after the stored patch, as each host makes
// it: unchanged but for its version where the patch doesn't apply, with the
// reason. It fails with a nil configuration where the patch isn't the next.
func (c *Config) ApplyStored(a StoredPatch) (*Config, error) {
	if a.Number != c.Version+1 {
		return nil, &Refusal{Item: ItemPatch, Name: fmt.Sprint(a.Number), Reason: fmt.Sprintf("not the next behind %d", c.Version)}
	}
	return c.accept(a)
}

// keep puts a patch into the tail and forgets the oldest beyond the limits.
func (l *Log) keep(a StoredPatch) {
	l.tail = append(l.tail, a)
	l.kept += len(a.Data)
	for len(l.tail) > maxTail || l.kept > maxKept && len(l.tail) > 1 {
		l.kept -= len(l.tail[0].Data)
		l.tail[0].Data = nil
		l.tail = l.tail[1:]
	}
}

// PatchesAfter returns the accepted patches behind after, in order. It reports false
// where the oldest of them is no longer kept: a peer then needs a snapshot.
func (l *Log) PatchesAfter(after uint64) ([]StoredPatch, bool) {
	if after >= l.newest().Version {
		return nil, true
	}
	if len(l.tail) == 0 || l.tail[0].Number > after+1 {
		return nil, false
	}
	return l.tail[after+1-l.tail[0].Number:], true
}

// compare checks a patch that came again.
func (l *Log) compare(a StoredPatch) []Action {
	if len(l.tail) == 0 || a.Number < l.tail[0].Number {
		return nil
	}
	if bytes.Equal(l.tail[a.Number-l.tail[0].Number].Data, a.Data) {
		return nil
	}
	return []Action{ConflictingPatch{Number: a.Number}}
}

// hold keeps a patch that came before its turn and asks for those between.
func (l *Log) hold(now time.Time, a StoredPatch) []Action {
	if l.pending == nil {
		l.pending = map[uint64][]byte{}
	}
	if len(l.pending) < maxPending {
		l.pending[a.Number] = a.Data
	}
	if now.Before(l.gap) {
		return nil
	}
	l.gap = now.Add(gapWait)
	return []Action{ListPatches{After: l.newest().Version}}
}

// replace takes a snapshot over where it is newer.
func (l *Log) replace(now time.Time, c *Config) []Action {
	if c.Version <= l.newest().Version {
		return nil
	}
	l.config = c
	l.tail, l.kept = nil, 0
	for number := range l.pending {
		if number <= c.Version {
			delete(l.pending, number)
		}
	}
	return l.drain(now)
}

func (l *Log) told(now time.Time, t PeerVersion) {
	if t.Version <= l.ahead.Version && t.Peer != l.ahead.Peer {
		return
	}
	if l.ahead.Version <= l.newest().Version {
		l.ask = now.Add(askWait)
	}
	if l.alone {
		l.ask = now
	}
	l.ahead = t
}

// unreadable has a peer asked at once.
func (l *Log) unreadable(now time.Time) {
	if !l.alone {
		l.alone, l.ask = true, now
	}
}

// schedule plans a snapshot at each multiple of Every.
func (l *Log) schedule(now time.Time) {
	c := l.newest()
	if c.Version%SnapshotInterval != 0 || c.Version <= l.saved {
		return
	}
	turns := uint64(saveSpread / saveGrain)
	turn := xxhash.Sum64String(fmt.Sprintf("%s/%d", l.Host, c.Version)) % turns
	l.due, l.turn = c, now.Add(time.Duration(turn)*saveGrain)
}

// save notes that a snapshot exists.
func (l *Log) save(version uint64) {
	l.saved = max(l.saved, version)
	if l.due != nil && l.due.Version <= version {
		l.due = nil
	}
}

func (l *Log) tick(now time.Time) (actions []Action) {
	if l.due != nil && l.started && !now.Before(l.turn) {
		actions = append(actions, SaveSnapshot{Config: l.due})
		l.turn = now.Add(saveSpread)
	}
	if l.ahead.Version > l.newest().Version && !now.Before(l.ask) {
		actions = append(actions, QueryPeer{Peer: l.ahead.Peer, After: l.newest().Version})
		l.ask = now.Add(askWait)
	}
	if len(l.pending) > 0 && !now.Before(l.gap) {
		actions = append(actions, ListPatches{After: l.newest().Version})
		l.gap = now.Add(gapWait)
	}
	return actions
}
