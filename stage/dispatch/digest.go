package dispatch

import (
	"time"

	"jacinthstage/stage/shelf"
)

// digestAge is how long what another host told of its requests counts.
const digestAge = 2 * time.Second

// A Digest is what one host tells others of its requests in progress.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	From    string   // the host
	Config  uint64   // version of the configuration in force there
	Targets []Activity
	Spaces  []Space
}

// A Space is how many adapters a runner that the sender owns has place for.
type Space struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Spare  int // negative where adapters wait for a place
}

// room is what a runner's owner told of its places.
type room struct {
	at    time.Time
	spare int
}

// An Activity is the requests of one host on one target.
type Activity struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Open     int // in progress
	Unread   int // tokens of their prompts that aren't read yet
	Adapters []Usage
}

// A Usage is the requests of one host for one adapter on one runner.
type Usage struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Open    int // in progress
	Begun   int // since the last digest
}

// usage counts this host's requests for one adapter on one runner.
type usage struct{ open, begun int }

// A share is what another host told of its requests on a target.
type share struct {
	at           time.Time
	open, unread int
}

// Digest returns what other hosts should know of this host's requests.
func (b *Board) Digest(now time.Time) Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := Digest{From: b.Holder}
	if b.config != nil {
		d.Config = b.config.Version
	}
	for _, t := range b.targets {
		if t.shelf != nil {
			d.Spaces = append(d.Spaces, Space{Runner: t.Name, Spare: t.shelf.Spare(now)})
		}
		if t.open == 0 && len(t.usage) == 0 {
			continue
		}
		a := Activity{Target: t.Name, Open: t.open, Unread: t.prefill}
		for k, u := range t.usage {
			a.Adapters = append(a.Adapters, Usage{Model: k.Model, Adapter: k.Adapter, Open: u.open, Begun: u.begun})
			u.begun = 0
			if u.open == 0 {
				delete(t.usage, k)
			}
		}
		d.Targets = append(d.Targets, a)
	}
	return d
}

// Take takes in what another host told. It reports whether the configuration
// should be read now: another host has had a newer one for a while.
func (b *Board) Take(now time.Time, d Digest) (behind bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	behind = b.behind(now, d.Config)
	if b.told == nil {
		b.told = make(map[string]time.Time)
	}
	b.told[d.From] = now
	for _, s := range d.Spaces {
		if t := b.targets[s.Runner]; t != nil {
			t.room = room{at: now, spare: s.Spare}
		}
	}
	for _, a := range d.Targets {
		t := b.targets[a.Target]
		if t == nil {
			continue
		}
		if t.shares == nil {
			t.shares = make(map[string]share)
		}
		t.shares[d.From] = share{at: now, open: a.Open, unread: a.Unread}
		if t.shelf == nil {
			continue
		}
		for _, u := range a.Adapters {
			t.shelf.Peer(now, shelf.Key{Model: u.Model, Adapter: u.Adapter}, d.From, u.Open, u.Begun)
		}
	}
	return behind
}

// behindLeast is how long another host must have had a newer configuration
// before it is read again: it usually is on its way, and large ones take time.
const behindLeast = 1200 * time.Millisecond

// behind reports whether the configuration should be read now, given the version
// that another host has.
func (b *Board) behind(now time.Time, version uint64) bool {
	switch {
	case version == 0 || b.config != nil && version <= b.config.Version:
		return false
	case b.config != nil && b.behindFrom != b.config.Version || b.behindSince.IsZero():
		b.behindSince = now
		if b.config != nil {
			b.behindFrom = b.config.Version
		}
		return false
	case now.Sub(b.behindSince) < behindLeast:
		return false
	}
	b.behindSince = now
	return true
}

// others returns the requests of other hosts on a target, and the tokens of
// their prompts that aren't read yet.
func (b *Board) others(now time.Time, t *target) (open, unread int) {
	for from, s := range t.shares {
		if s.at != b.told[from] || now.Sub(s.at) > digestAge {
			delete(t.shares, from)
			continue
		}
		open += s.open
		unread += s.unread
	}
	return open, unread
}

const (
	// silenceLeast, and silenceEach for each host of the system, is how long the
	// owner of a runner may go without a digest before no load is asked of it.
	silenceLeast = time.Second
	silenceEach  = 60 * time.Millisecond
	// silenceFar is how many times longer it may be silent in another region.
	silenceFar = 3
)

// silent reports whether the owner of a runner told nothing for too long. One
// that never told anything may just have started.
func (b *Board) silent(now time.Time, t *target) bool {
	told, ok := b.told[b.owners[t.Name].Host]
	if !ok {
		return false
	}
	limit := silenceLeast + time.Duration(b.hosts)*silenceEach
	if b.far(t) {
		limit *= silenceFar
	}
	return now.Sub(told) > limit
}

// An Owner is the host that orders a runner.
type Owner struct {
	Host    string
	Address string // of the link between hosts
}

// Hosts returns the number of hosts, 1 where it isn't known.
func (b *Board) Hosts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(1, b.hosts)
}

// Owned tells which host orders each runner, and how many hosts there are.
func (b *Board) Owned(owners map[string]Owner, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owners = owners
	b.hosts = hosts
}
