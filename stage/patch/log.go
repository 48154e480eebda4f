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

	maxRecent      = 2 * SnapshotInterval   // accepted patches kept for peers that are behind
	maxRecentBytes = 4 << 20                // total size of those patches
	maxPending     = SnapshotInterval       // patches kept that arrived ahead of a missing one
	listInterval   = time.Second            // between two ListPatches actions for the same gap
	queryInterval  = 2 * time.Second        // before the first query to a peer that is ahead, and between queries
	saveWindow     = 30 * time.Second       // interval over which hosts spread their writes of one snapshot
	saveStep       = 100 * time.Millisecond // granularity of the write times within saveWindow
)

// Log is one host's copy of the sequence of accepted patches. It applies them
// in order, activates the resulting configurations, that is, puts them in force
// on the host, and schedules snapshots. The zero value is at version 0 and
// corresponds to an empty store. It is not safe for concurrent use.
//
// No configuration becomes active until the host knows that it is up to date:
// either a listing of the object API has completed or, while the object API
// can't be read, the log has reached the highest version reported by any peer.
// This keeps a restarted host from activating a version that is older than the
// one its region already uses.
//
// A stored patch that doesn't apply leaves the configuration unchanged but
// still uses up its number. All hosts treat such a patch in the same way.
type Log struct {
	Host string // name of this host, hashed to spread the hosts' snapshot writes

	config          *Config           // latest configuration; nil before the first patch or snapshot
	active          bool              // whether config is active
	storeDown       bool              // whether the object API can't be read
	recent          []StoredPatch     // most recently applied patches, in order
	recentBytes     int               // total size of the data in recent
	pending         map[uint64][]byte // data of patches that arrived ahead of a missing one, by number
	nextListing     time.Time         // earliest time of the next ListPatches action
	highestPeer     PeerVersion       // the highest version that a peer has reported
	nextQuery       time.Time         // earliest time of the next query to that peer
	savedVersion    uint64            // version of the newest snapshot known to exist
	pendingSnapshot *Config           // configuration to write as a snapshot, nil if none
	saveTime        time.Time         // when to write it
}

// StoredPatch is an accepted patch as it is stored in the object API.
// Data is the value of the object, an encoded Patch.
type StoredPatch struct {
	Number uint64 `json:"number"`
	Data   []byte `json:"data"`
}

// Event is an input of a Log: ReceivedPatch, SnapshotLoaded, SnapshotReceived,
// ListingComplete, StoreUnavailable, PeerVersion, SnapshotSaved or Tick.
type Event interface{ event() }

// ReceivedPatch carries an accepted patch, read from the object API or received
// from a peer. Patches may arrive repeatedly and in any order.
type ReceivedPatch struct{ StoredPatch }

// SnapshotLoaded carries a configuration read from a snapshot in the object API.
type SnapshotLoaded struct{ Config *Config }

// SnapshotReceived carries a configuration read from a peer's snapshot.
type SnapshotReceived struct{ Config *Config }

// ListingComplete reports that a listing of the object API has ended: all
// patches up to the newest were delivered as ReceivedPatch.
type ListingComplete struct{}

// StoreUnavailable reports that the object API couldn't be read.
type StoreUnavailable struct{}

// PeerVersion reports the version that is active on a peer.
type PeerVersion struct {
	Peer    string
	Version uint64
}

// SnapshotSaved reports that the snapshot of Version exists in the object API.
type SnapshotSaved struct{ Version uint64 }

// Tick reports that time has passed. A Log needs one about every second.
type Tick struct{}

func (ReceivedPatch) event()    {}
func (SnapshotLoaded) event()   {}
func (SnapshotReceived) event() {}
func (ListingComplete) event()  {}
func (StoreUnavailable) event() {}
func (PeerVersion) event()      {}
func (SnapshotSaved) event()    {}
func (Tick) event()             {}

// Action is an output of a Log: Activate, InvalidPatch, ConflictingPatch,
// ListPatches, QueryPeer or SaveSnapshot.
type Action interface{ action() }

// Activate makes Config the host's active configuration.
type Activate struct{ Config *Config }

// InvalidPatch reports that patch Number has no effect because it doesn't apply;
// Err is the reason.
type InvalidPatch struct {
	Number uint64
	Err    error
}

// ConflictingPatch reports that patch Number arrived again with different data,
// which means that the object API or a peer is faulty. The log keeps the first
// data.
type ConflictingPatch struct{ Number uint64 }

// ListPatches requests a new listing of the patches numbered above After because
// some of them are missing.
type ListPatches struct{ After uint64 }

// QueryPeer requests the patches numbered above After from a peer.
type QueryPeer struct {
	Peer  string
	After uint64
}

// SaveSnapshot requests that the snapshot of Config be written unless it exists.
// SnapshotSaved must follow once it exists.
type SaveSnapshot struct{ Config *Config }

func (Activate) action()         {}
func (InvalidPatch) action()     {}
func (ConflictingPatch) action() {}
func (ListPatches) action()      {}
func (QueryPeer) action()        {}
func (SaveSnapshot) action()     {}

// ActiveVersion returns the version of the active configuration, or 0 if none is
// active.
func (l *Log) ActiveVersion() uint64 {
	if !l.active {
		return 0
	}
	return l.latest().Version
}

// LatestConfig returns the latest configuration, whether or not it is active.
func (l *Log) LatestConfig() *Config { return l.latest() }

func (l *Log) latest() *Config {
	if l.config == nil {
		l.config = &Config{}
	}
	return l.config
}

// Step processes one event and returns the actions to carry out. It panics on an
// event of an unknown type.
func (l *Log) Step(now time.Time, event Event) []Action {
	oldVersion := l.ActiveVersion()
	wasActive := l.active
	var actions []Action
	switch x := event.(type) {
	case ReceivedPatch:
		actions = l.receivePatch(now, x)
	case SnapshotLoaded:
		l.recordSnapshot(x.Config.Version)
		l.storeDown = false
		actions = l.adoptSnapshot(now, x.Config)
	case SnapshotReceived:
		actions = l.adoptSnapshot(now, x.Config)
	case ListingComplete:
		l.active, l.storeDown, l.pending = true, false, nil
	case StoreUnavailable:
		l.recordStoreDown(now)
	case PeerVersion:
		l.recordPeerVersion(now, x)
	case SnapshotSaved:
		l.recordSnapshot(x.Version)
	case Tick:
		actions = l.tick(now)
	default:
		panic(fmt.Sprintf("patch: unknown event %T", event))
	}
	l.activateWithoutStore()
	if l.active && (!wasActive || l.ActiveVersion() > oldVersion) {
		actions = append(actions, Activate{Config: l.latest()})
	}
	return actions
}

// activateWithoutStore activates the configuration while the object API can't be
// read, once the log has reached the highest version reported by any peer.
func (l *Log) activateWithoutStore() {
	if l.storeDown && l.highestPeer.Version > 0 && l.latest().Version >= l.highestPeer.Version {
		l.active = true
	}
}

// receivePatch applies a patch if it is the next one, checks it against the
// earlier copy if it was applied before, and keeps it if it is too early.
func (l *Log) receivePatch(now time.Time, p ReceivedPatch) []Action {
	next := l.latest().Version + 1
	switch {
	case p.Number < next:
		return l.checkDuplicate(p.StoredPatch)
	case p.Number > next:
		return l.addPending(now, p.StoredPatch)
	}
	actions := l.applyNext(now, p.StoredPatch)
	return append(actions, l.applyPending(now)...)
}

// applyPending applies the pending patches that follow the latest version
// without a gap.
func (l *Log) applyPending(now time.Time) (actions []Action) {
	for {
		next := l.latest().Version + 1
		data, ok := l.pending[next]
		if !ok {
			return actions
		}
		delete(l.pending, next)
		actions = append(actions, l.applyNext(now, StoredPatch{next, data})...)
	}
}

// applyNext applies the patch that follows the latest version, records it as
// recent and schedules a snapshot if one is due.
func (l *Log) applyNext(now time.Time, p StoredPatch) (actions []Action) {
	config, err := l.latest().applyOrSkip(p)
	if err != nil {
		actions = append(actions, InvalidPatch{Number: p.Number, Err: err})
	}
	l.config = config
	l.addRecent(p)
	l.scheduleSnapshot(now)
	return actions
}

// applyOrSkip returns the configuration after the stored patch, which must be the
// next one. If the patch doesn't apply, that is the same configuration under the
// next version, together with the reason.
func (c *Config) applyOrSkip(stored StoredPatch) (*Config, error) {
	p, err := Decode(stored.Data)
	if err == nil && p.Number != stored.Number {
		err = &Refusal{Item: ItemPatch, Name: fmt.Sprint(stored.Number), Reason: fmt.Sprintf("its object holds number %d", p.Number)}
	}
	if err == nil {
		next, applyErr := c.Apply(p)
		if applyErr == nil {
			return next, nil
		}
		err = applyErr
	}
	same := *c
	same.Version = stored.Number
	return &same, err
}

// ApplyStored returns the configuration after a stored patch, as every host
// computes it. If the patch doesn't apply, it returns the same configuration
// under the next version, together with the reason. If the patch is not the next
// one, it returns a nil configuration and an error.
func (c *Config) ApplyStored(p StoredPatch) (*Config, error) {
	if p.Number != c.Version+1 {
		return nil, &Refusal{Item: ItemPatch, Name: fmt.Sprint(p.Number), Reason: fmt.Sprintf("not the next behind %d", c.Version)}
	}
	return c.applyOrSkip(p)
}

// addRecent appends a patch to the recent ones and drops the oldest ones that
// exceed maxRecent or maxRecentBytes. The newest patch is always kept.
func (l *Log) addRecent(p StoredPatch) {
	l.recent = append(l.recent, p)
	l.recentBytes += len(p.Data)
	for len(l.recent) > maxRecent || l.recentBytes > maxRecentBytes && len(l.recent) > 1 {
		l.recentBytes -= len(l.recent[0].Data)
		l.recent[0].Data = nil
		l.recent = l.recent[1:]
	}
}

// PatchesAfter returns the accepted patches numbered above after, in order. It
// reports false if the oldest of them is no longer kept; a peer that asks for
// them then needs a snapshot.
func (l *Log) PatchesAfter(after uint64) ([]StoredPatch, bool) {
	if after >= l.latest().Version {
		return nil, true
	}
	if len(l.recent) == 0 || l.recent[0].Number > after+1 {
		return nil, false
	}
	return l.recent[after+1-l.recent[0].Number:], true
}

// checkDuplicate compares a patch that was applied before with the copy in
// recent, if it is still there.
func (l *Log) checkDuplicate(p StoredPatch) []Action {
	if len(l.recent) == 0 || p.Number < l.recent[0].Number {
		return nil
	}
	if bytes.Equal(l.recent[p.Number-l.recent[0].Number].Data, p.Data) {
		return nil
	}
	return []Action{ConflictingPatch{Number: p.Number}}
}

// addPending keeps a patch that arrived ahead of a missing one and requests a
// listing, at most one per listInterval. Beyond maxPending the patch is dropped;
// a later listing delivers it again.
func (l *Log) addPending(now time.Time, p StoredPatch) []Action {
	if l.pending == nil {
		l.pending = map[uint64][]byte{}
	}
	if len(l.pending) < maxPending {
		l.pending[p.Number] = p.Data
	}
	if now.Before(l.nextListing) {
		return nil
	}
	l.nextListing = now.Add(listInterval)
	return []Action{ListPatches{After: l.latest().Version}}
}

// adoptSnapshot replaces the configuration by that of a snapshot if it is newer.
func (l *Log) adoptSnapshot(now time.Time, c *Config) []Action {
	if c.Version <= l.latest().Version {
		return nil
	}
	l.config = c
	l.recent, l.recentBytes = nil, 0
	for number := range l.pending {
		if number <= c.Version {
			delete(l.pending, number)
		}
	}
	return l.applyPending(now)
}

// recordPeerVersion updates the highest version reported by a peer. A peer that
// is ahead is queried after queryInterval, so that the object API can deliver the
// missing patches first, or at the next tick if the object API can't be read.
func (l *Log) recordPeerVersion(now time.Time, peer PeerVersion) {
	if peer.Version <= l.highestPeer.Version && peer.Peer != l.highestPeer.Peer {
		return
	}
	if l.highestPeer.Version <= l.latest().Version {
		l.nextQuery = now.Add(queryInterval)
	}
	if l.storeDown {
		l.nextQuery = now
	}
	l.highestPeer = peer
}

// recordStoreDown records that the object API can't be read and lets the next
// tick query a peer without delay.
func (l *Log) recordStoreDown(now time.Time) {
	if !l.storeDown {
		l.storeDown, l.nextQuery = true, now
	}
}

// scheduleSnapshot schedules a snapshot at each multiple of SnapshotInterval. The
// write time within saveWindow depends on a hash of the host and the version, so
// that the hosts don't all write at once.
func (l *Log) scheduleSnapshot(now time.Time) {
	c := l.latest()
	if c.Version%SnapshotInterval != 0 || c.Version <= l.savedVersion {
		return
	}
	steps := uint64(saveWindow / saveStep)
	step := xxhash.Sum64String(fmt.Sprintf("%s/%d", l.Host, c.Version)) % steps
	l.pendingSnapshot, l.saveTime = c, now.Add(time.Duration(step)*saveStep)
}

// recordSnapshot records that a snapshot exists and cancels a scheduled write that
// it makes unnecessary.
func (l *Log) recordSnapshot(version uint64) {
	l.savedVersion = max(l.savedVersion, version)
	if l.pendingSnapshot != nil && l.pendingSnapshot.Version <= version {
		l.pendingSnapshot = nil
	}
}

// tick returns the snapshot write, the query to a peer and the listing that are
// due. Each is repeated until its result arrives, a write after saveWindow, a
// query after queryInterval and a listing after listInterval.
func (l *Log) tick(now time.Time) (actions []Action) {
	if l.pendingSnapshot != nil && l.active && !now.Before(l.saveTime) {
		actions = append(actions, SaveSnapshot{Config: l.pendingSnapshot})
		l.saveTime = now.Add(saveWindow)
	}
	if l.highestPeer.Version > l.latest().Version && !now.Before(l.nextQuery) {
		actions = append(actions, QueryPeer{Peer: l.highestPeer.Peer, After: l.latest().Version})
		l.nextQuery = now.Add(queryInterval)
	}
	if len(l.pending) > 0 && !now.Before(l.nextListing) {
		actions = append(actions, ListPatches{After: l.latest().Version})
		l.nextListing = now.Add(listInterval)
	}
	return actions
}
