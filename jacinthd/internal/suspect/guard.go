// Package suspect runs the quarantine of requests that crash targets on one
// host: it carries out its calls on the object API and asks its leave for
// traffic.
package suspect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/quarantine"
	"jacinthstage/stage/store"
	"jacinthstage/stage/verdict"
)

const (
	tick   = time.Second     // between ticks of the quarantine
	period = 2 * time.Minute // between listings of the suspects, at most
)

// A Guard is one host's quarantine. Set the exported fields before its first
// use; all but Host and Store may be nil. It is safe for concurrent use.
type Guard struct {
	Host        string // a name that no other host and no other incarnation has
	Store       store.Store
	NotifyPeers func(key, crash string) // tells all peers and returns once they know
	Cancel      func(id, target string) // cancels a run
	Log         *zap.Logger

	mu      sync.Mutex
	core    quarantine.Quarantine
	waiting map[string]chan *verdict.Error // requests that wait for leave, by id
	calls   sync.WaitGroup
}

// Run lists the suspects from time to time and passes time on, until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	defer g.calls.Wait()
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	listing := time.Now()
	for {
		if !time.Now().Before(listing) {
			g.list(ctx)
			listing = time.Now().Add(period/2 + rand.N(period/2))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			g.step(quarantine.Tick{})
		}
	}
}

// list tells the quarantine of all objects, and of those that are gone. Its
// failure is left to the next one.
func (g *Guard) list(ctx context.Context) {
	g.mu.Lock()
	gone := map[quarantine.Fingerprint]bool{}
	for _, p := range g.core.StoredSuspects() {
		gone[p] = true
	}
	g.mu.Unlock()
	_, err := archive.List(ctx, g.Store, quarantine.KeyPrefix, "", func(o store.Object) {
		p, ok := quarantine.ParseKey(o.Key)
		r, err := quarantine.Decode(o.Value)
		if !ok || err != nil {
			return
		}
		delete(gone, p)
		g.step(quarantine.Stored{Fingerprint: p, Version: o.Version, Record: r})
	})
	if err != nil {
		return
	}
	for p := range gone {
		g.step(quarantine.NotFound{Fingerprint: p})
	}
}

// Refused reports whether a request with this fingerprint is refused for good.
func (g *Guard) Refused(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.IsRefused(quarantine.Fingerprint(key))
}

// Enter asks for leave to send a request. It returns at once where the request
// has no crash to its name, else when its claim is decided. Its error is a
// *verdict.Error with NotRun. Where it is nil, Leave or Crashed must follow.
func (g *Guard) Enter(ctx context.Context, key, id, target string) error {
	p := quarantine.Fingerprint(key)
	g.mu.Lock()
	if g.core.IsClean(p) {
		g.mu.Unlock()
		g.step(quarantine.Sent{Fingerprint: p, ID: id, Target: target})
		return nil
	}
	if g.waiting == nil {
		g.waiting = map[string]chan *verdict.Error{}
	}
	answer := make(chan *verdict.Error, 1)
	g.waiting[id] = answer
	g.mu.Unlock()
	g.step(quarantine.RunRequested{Fingerprint: p, ID: id})
	select {
	case err := <-answer:
		if err != nil {
			return err
		}
		return g.alone(p, id, target)
	case <-ctx.Done():
		g.mu.Lock()
		delete(g.waiting, id)
		g.mu.Unlock()
		g.Leave(key, id, false)
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed before the request could run")
	}
}

// alone notes the sending of a suspect, unless another one is in progress at
// the target: a crash would leave open which of them was its cause.
func (g *Guard) alone(p quarantine.Fingerprint, id, target string) error {
	g.mu.Lock()
	if g.core.HasSuspectAt(target) {
		g.mu.Unlock()
		g.step(quarantine.Ended{Fingerprint: p, ID: id})
		err := verdict.Refuse(verdict.Busy, "another request that crashed a target runs there")
		err.RetryAt = time.Now().Add(tick)
		return err
	}
	actions := g.core.Step(time.Now(), quarantine.Sent{Fingerprint: p, ID: id, Target: target})
	g.mu.Unlock()
	for _, a := range actions {
		g.act(a)
	}
	return nil
}

// Leave says that a request runs no more; whole, that it was answered whole.
func (g *Guard) Leave(key, id string, whole bool) {
	g.step(quarantine.Ended{Fingerprint: quarantine.Fingerprint(key), ID: id, Complete: whole})
}

// Crashed records that a target's process ended with a request in progress,
// and returns when the peers have been told.
func (g *Guard) Crashed(key, crash string) { g.CrashedRun(key, "", crash) }

// CrashedRun is Crashed for a request that entered here under id.
func (g *Guard) CrashedRun(key, id, crash string) {
	g.step(quarantine.Crashed{Fingerprint: quarantine.Fingerprint(key), ID: id, CrashID: crash})
}

// RecordPeerCrash records that a peer saw a crash.
func (g *Guard) RecordPeerCrash(key, crash string) {
	g.step(quarantine.CrashReported{Fingerprint: quarantine.Fingerprint(key), CrashID: crash})
}

// step gives the quarantine an event and carries out what it wants.
func (g *Guard) step(event quarantine.Event) {
	g.mu.Lock()
	g.core.Host = g.Host
	actions := g.core.Step(time.Now(), event)
	g.mu.Unlock()
	for _, a := range actions {
		g.act(a)
	}
}

func (g *Guard) act(action quarantine.Action) {
	switch x := action.(type) {
	case quarantine.Allow:
		g.answer(x.ID, nil)
	case quarantine.Refuse:
		g.answer(x.ID, x.Err)
	case quarantine.Cancel:
		if g.Cancel != nil {
			g.Cancel(x.ID, x.Target)
		}
	case quarantine.ReportCrash:
		if g.Log != nil {
			g.Log.Warn(fmt.Sprintf("suspect: %s was in progress at the crash %s", x.Fingerprint, x.CrashID))
		}
		if g.NotifyPeers != nil {
			g.NotifyPeers(string(x.Fingerprint), x.CrashID)
		}
	case quarantine.Read:
		g.calls.Go(func() { g.step(g.read(x)) })
	case quarantine.Write:
		g.calls.Go(func() { g.step(g.write(x)) })
	case quarantine.Delete:
		g.calls.Go(func() { g.step(g.remove(x)) })
	default:
		panic(fmt.Sprintf("suspect: unknown action %T", action))
	}
}

// answer lets the request go on that waits for leave.
func (g *Guard) answer(id string, err *verdict.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if waiting := g.waiting[id]; waiting != nil {
		waiting <- err
		delete(g.waiting, id)
	}
}

func (g *Guard) read(x quarantine.Read) quarantine.Event {
	o, err := g.Store.Get(context.Background(), x.Fingerprint.Key())
	if err != nil {
		return fault(x.Fingerprint, err)
	}
	r, err := quarantine.Decode(o.Value)
	if err != nil {
		return quarantine.CallFailed(x)
	}
	return quarantine.Stored{Fingerprint: x.Fingerprint, Version: o.Version, Record: r, Reply: true}
}

func (g *Guard) write(x quarantine.Write) quarantine.Event {
	var o store.Object
	var err error
	if x.Version == 0 {
		o, err = g.Store.Create(context.Background(), x.Fingerprint.Key(), x.Record.Encode())
	} else {
		o, err = g.Store.Update(context.Background(), x.Fingerprint.Key(), x.Version, x.Record.Encode())
	}
	if err != nil {
		return fault(x.Fingerprint, err)
	}
	return quarantine.Stored{Fingerprint: x.Fingerprint, Version: o.Version, Record: x.Record, Reply: true}
}

func (g *Guard) remove(x quarantine.Delete) quarantine.Event {
	if err := g.Store.Delete(context.Background(), x.Fingerprint.Key(), x.Version); err != nil {
		return fault(x.Fingerprint, err)
	}
	return quarantine.NotFound{Fingerprint: x.Fingerprint, Reply: true}
}

func fault(p quarantine.Fingerprint, err error) quarantine.Event {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return quarantine.NotFound{Fingerprint: p, Reply: true}
	case errors.Is(err, store.ErrConflict):
		return quarantine.Conflict{Fingerprint: p}
	default:
		return quarantine.CallFailed{Fingerprint: p}
	}
}
