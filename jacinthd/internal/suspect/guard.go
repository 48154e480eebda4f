// Package suspect runs a host's quarantine of requests that crash targets. It
// performs the quarantine's calls on the object API and asks the quarantine for
// permission before package traffic sends a request.
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
	tickPeriod    = time.Second     // time between ticks of the quarantine
	maxListPeriod = 2 * time.Minute // maximum time between listings of the suspects
)

// A Guard runs the quarantine of one host. Its exported fields must be set before
// the first use. NotifyPeers, Cancel and Log can be nil. A Guard is safe for
// concurrent use.
type Guard struct {
	Host        string // name that is unique among all hosts and their incarnations
	Store       store.Store
	NotifyPeers func(fingerprint, crash string) // reports a crash to all peers, and returns once they have been notified
	Cancel      func(id, target string)         // cancels a run of a request
	Log         *zap.Logger

	mu      sync.Mutex
	core    quarantine.Quarantine
	waiting map[string]chan *verdict.Error // requests waiting for permission, by ID
	calls   sync.WaitGroup
}

// Run lists the suspects periodically and ticks the quarantine, until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	defer g.calls.Wait()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	nextList := time.Now()
	for {
		if !time.Now().Before(nextList) {
			g.listSuspects(ctx)
			nextList = time.Now().Add(maxListPeriod/2 + rand.N(maxListPeriod/2))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.step(quarantine.Tick{})
		}
	}
}

// listSuspects passes the stored suspects to the quarantine, and reports those that
// have been deleted. After a failure, the next listing makes up for it.
func (g *Guard) listSuspects(ctx context.Context) {
	g.mu.Lock()
	missing := map[quarantine.Fingerprint]bool{}
	for _, fp := range g.core.StoredSuspects() {
		missing[fp] = true
	}
	g.mu.Unlock()
	_, err := archive.List(ctx, g.Store, quarantine.KeyPrefix, "", func(o store.Object) {
		fp, ok := quarantine.ParseKey(o.Key)
		r, err := quarantine.Decode(o.Value)
		if !ok || err != nil {
			return
		}
		delete(missing, fp)
		g.step(quarantine.Stored{Fingerprint: fp, Version: o.Version, Record: r})
	})
	if err != nil {
		return
	}
	for fp := range missing {
		g.step(quarantine.NotFound{Fingerprint: fp})
	}
}

// Refused reports whether requests with this fingerprint are refused permanently.
func (g *Guard) Refused(fingerprint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.IsRefused(quarantine.Fingerprint(fingerprint))
}

// Enter asks for permission to send a request. If no crash of the request is known,
// it returns immediately, otherwise once the request's claim is decided. An error is
// a *verdict.Error with verdict NotRun. If the error is nil, Leave or CrashedRun
// must follow.
func (g *Guard) Enter(ctx context.Context, fingerprint, id, target string) error {
	fp := quarantine.Fingerprint(fingerprint)
	g.mu.Lock()
	if g.core.IsClean(fp) {
		g.mu.Unlock()
		g.step(quarantine.Sent{Fingerprint: fp, ID: id, Target: target})
		return nil
	}
	if g.waiting == nil {
		g.waiting = map[string]chan *verdict.Error{}
	}
	answer := make(chan *verdict.Error, 1)
	g.waiting[id] = answer
	g.mu.Unlock()
	g.step(quarantine.RunRequested{Fingerprint: fp, ID: id})
	select {
	case err := <-answer:
		if err != nil {
			return err
		}
		return g.sendIfAlone(fp, id, target)
	case <-ctx.Done():
		g.mu.Lock()
		delete(g.waiting, id)
		g.mu.Unlock()
		g.Leave(fingerprint, id, false)
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed before the request could run")
	}
}

// sendIfAlone records a suspect as sent, unless another one is in progress at the
// target. If both were, a crash wouldn't show which of them caused it.
func (g *Guard) sendIfAlone(fp quarantine.Fingerprint, id, target string) error {
	g.mu.Lock()
	if g.core.HasSuspectAt(target) {
		g.mu.Unlock()
		g.step(quarantine.Ended{Fingerprint: fp, ID: id})
		err := verdict.Refuse(verdict.Busy, "another request that crashed a target runs there")
		err.RetryAt = time.Now().Add(tickPeriod)
		return err
	}
	actions := g.core.Step(time.Now(), quarantine.Sent{Fingerprint: fp, ID: id, Target: target})
	g.mu.Unlock()
	for _, a := range actions {
		g.doAction(a)
	}
	return nil
}

// Leave records that a request no longer runs. The parameter complete
// reports whether it was answered completely.
func (g *Guard) Leave(fingerprint, id string, complete bool) {
	g.step(quarantine.Ended{Fingerprint: quarantine.Fingerprint(fingerprint), ID: id, Complete: complete})
}

// Crashed records that a target's process crashed with a request in progress, and
// returns once the peers have been notified.
func (g *Guard) Crashed(fingerprint, crash string) { g.CrashedRun(fingerprint, "", crash) }

// CrashedRun is like Crashed, for a request that was given to Enter on this host
// with this ID.
func (g *Guard) CrashedRun(fingerprint, id, crash string) {
	g.step(quarantine.Crashed{Fingerprint: quarantine.Fingerprint(fingerprint), ID: id, CrashID: crash})
}

// RecordPeerCrash records a crash that a peer has reported.
func (g *Guard) RecordPeerCrash(fingerprint, crash string) {
	g.step(quarantine.CrashReported{Fingerprint: quarantine.Fingerprint(fingerprint), CrashID: crash})
}

// step passes an event to the quarantine and carries out the resulting actions.
func (g *Guard) step(event quarantine.Event) {
	g.mu.Lock()
	g.core.Host = g.Host
	actions := g.core.Step(time.Now(), event)
	g.mu.Unlock()
	for _, a := range actions {
		g.doAction(a)
	}
}

func (g *Guard) doAction(action quarantine.Action) {
	switch x := action.(type) {
	case quarantine.Allow:
		g.answerWaiting(x.ID, nil)
	case quarantine.Refuse:
		g.answerWaiting(x.ID, x.Err)
	case quarantine.Cancel:
		if g.Cancel != nil {
			g.Cancel(x.ID, x.Target)
		}
	case quarantine.ReportCrash:
		if g.Log != nil {
			g.Log.Warn(fmt.Sprintf("suspect: request %s was in progress in crash %s", x.Fingerprint, x.CrashID))
		}
		if g.NotifyPeers != nil {
			g.NotifyPeers(string(x.Fingerprint), x.CrashID)
		}
	case quarantine.Read:
		g.calls.Go(func() { g.step(g.readRecord(x)) })
	case quarantine.Write:
		g.calls.Go(func() { g.step(g.writeRecord(x)) })
	case quarantine.Delete:
		g.calls.Go(func() { g.step(g.deleteRecord(x)) })
	default:
		panic(fmt.Sprintf("suspect: unknown action %T", action))
	}
}

// answerWaiting passes the decision to the request that waits for permission.
func (g *Guard) answerWaiting(id string, err *verdict.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if waiting := g.waiting[id]; waiting != nil {
		waiting <- err
		delete(g.waiting, id)
	}
}

func (g *Guard) readRecord(x quarantine.Read) quarantine.Event {
	o, err := g.Store.Get(context.Background(), x.Fingerprint.Key())
	if err != nil {
		return failureEvent(x.Fingerprint, err)
	}
	r, err := quarantine.Decode(o.Value)
	if err != nil {
		return quarantine.CallFailed(x)
	}
	return quarantine.Stored{Fingerprint: x.Fingerprint, Version: o.Version, Record: r, Reply: true}
}

func (g *Guard) writeRecord(x quarantine.Write) quarantine.Event {
	var o store.Object
	var err error
	if x.Version == 0 {
		o, err = g.Store.Create(context.Background(), x.Fingerprint.Key(), x.Record.Encode())
	} else {
		o, err = g.Store.Update(context.Background(), x.Fingerprint.Key(), x.Version, x.Record.Encode())
	}
	if err != nil {
		return failureEvent(x.Fingerprint, err)
	}
	return quarantine.Stored{Fingerprint: x.Fingerprint, Version: o.Version, Record: x.Record, Reply: true}
}

func (g *Guard) deleteRecord(x quarantine.Delete) quarantine.Event {
	if err := g.Store.Delete(context.Background(), x.Fingerprint.Key(), x.Version); err != nil {
		return failureEvent(x.Fingerprint, err)
	}
	return quarantine.NotFound{Fingerprint: x.Fingerprint, Reply: true}
}

// failureEvent converts a failed call on the object API to the quarantine's event.
func failureEvent(fp quarantine.Fingerprint, err error) quarantine.Event {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return quarantine.NotFound{Fingerprint: fp, Reply: true}
	case errors.Is(err, store.ErrConflict):
		return quarantine.Conflict{Fingerprint: fp}
	default:
		return quarantine.CallFailed{Fingerprint: fp}
	}
}
