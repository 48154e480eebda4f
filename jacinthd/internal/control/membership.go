package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/storecall"
	"jacinthstage/stage/host"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/service"
	"jacinthstage/stage/store"
)

const (
	tablePrefix = "assign/"
	// listPeriod is the time between two reads of the platform's list.
	listPeriod = time.Second
	// retryPeriod is the mean time from a failed watch to the next.
	retryPeriod = time.Second
)

// memberStep passes an event to the membership and carries its actions out.
func (l *Loop) memberStep(event host.Event) {
	for _, action := range l.member.Step(l.now, event) {
		l.memberAct(action)
	}
}

func (l *Loop) memberAct(action host.Action) {
	switch a := action.(type) {
	case host.Get:
		go func() { l.carried(storecall.Get(l.ctx, l.Store.Get, a)) }()
	case host.List:
		go func() { l.carried(storecall.List(l.ctx, l.Store, a)) }()
	case host.Put:
		go func() { l.carried(storecall.Put(l.ctx, l.Store, a)) }()
	case host.Delete:
		go func() { l.carried(storecall.Delete(l.ctx, l.Store, a)) }()
	case host.Acquire:
		l.acquire(a)
	case host.Release:
		l.release(a.Runner)
	case host.Handover:
		l.handover(a)
	case host.Renewed:
		l.lease = a.Until
		l.paused = false
		l.permits.renew(l)
		l.eachRunner(runner.LeaseRenewed{LeaseEnd: a.Until})
	case host.Expired:
		l.Log.Info("lease: lapsed")
		l.lease = l.now
		l.permits.renew(l)
		l.lapse()
	case host.TableChanged:
		l.tables[l.Region] = a.Table
		l.permits.elect(l)
		l.dirty = true
	case host.Replaced:
		l.Log.Error("lease: another process runs under this name")
		l.halt()
	case host.Stopped:
		l.Log.Info("lease: given up")
		l.halt()
	default:
		panic(fmt.Sprintf("control: action %T of the membership", action))
	}
}

// lapse tells the runners that the lease can't be relied on. An engine that
// ignores fencing numbers goes to another host only once the platform's list
// shows this one as gone, so a lapse alone, as in an outage of the object API,
// leaves it served; after a pause this host can't know.
func (l *Loop) lapse() {
	for _, o := range l.owned {
		if o.runner.Fenced || l.paused {
			l.runnerStep(o, runner.LeaseLapsed{})
		}
	}
}

// halt tells Stop that the membership has ended.
func (l *Loop) halt() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
}

// Stop starts a planned stop and returns once every runner was handed over and
// the lease given up, or ctx ended.
func (l *Loop) Stop(ctx context.Context) error {
	l.post(stop{})
	select {
	case <-l.stopped:
		return nil
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stopped is closed once this host's membership has ended for good.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// carried tells the membership how a call on the object API went.
func (l *Loop) carried(event host.Event, err error) {
	if err != nil {
		l.Log.Debug("host: call on the object API failed", zap.Error(err))
	}
	l.post(stored{event})
}

// watchTables follows the tables of all regions until ctx ends.
func (l *Loop) watchTables(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := l.Store.List(ctx, tablePrefix, "")
		if err == nil {
			for _, o := range page.Objects {
				l.seeTable(o)
			}
			err = l.Store.Watch(ctx, tablePrefix, page.Revision, func(c store.Event) {
				if put, ok := c.(store.Put); ok {
					l.seeTable(put.Object)
				}
			})
		}
		l.Log.Debug("host: watch ended", zap.Error(err))
		pause(ctx, retryPeriod/2+rand.N(retryPeriod))
	}
}

func (l *Loop) seeTable(o store.Object) {
	l.post(watched{region: strings.TrimPrefix(o.Key, tablePrefix), object: o})
}

// table takes a region's table in. That of this host's own region goes through
// the membership.
func (l *Loop) table(w watched) {
	if w.region == l.Region {
		l.memberStep(host.TableWatched{Version: w.object.Version, Value: w.object.Value})
		return
	}
	table, err := host.Decode(w.object.Value)
	if err != nil {
		l.Log.Error("host: unreadable table", zap.String("region", w.region), zap.Error(err))
		return
	}
	l.tables[w.region] = table
	l.dirty = true
}

// watchPresence reads the platform's list again and again until ctx ends.
func (l *Loop) watchPresence(ctx context.Context) {
	for ctx.Err() == nil {
		all, err := l.Store.Hosts(ctx)
		if err == nil {
			l.post(listed{all})
		}
		pause(ctx, listPeriod)
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

var states = map[string]host.PlatformState{"live": host.Live, "leaving": host.Leaving, "gone": host.Gone}

// present takes the platform's list in: hosts for the membership, targets for routing.
func (l *Loop) present(all []store.Presence) {
	for _, p := range all {
		if p.Kind == "host" {
			l.memberStep(host.PlatformStatus{Name: p.Name, State: states[p.State]})
			continue
		}
		l.presentTarget(p)
	}
}

// presentTarget stops new work for a target that leaves, and takes it up again
// for one that came back.
func (l *Loop) presentTarget(p store.Presence) {
	former := l.fit(p.Name)
	l.presence[p.Name] = p.State
	if l.fit(p.Name) == former {
		return
	}
	l.dirty = true
	o := l.owned[p.Name]
	switch {
	case o == nil:
	case former:
		l.Log.Info("target: leaves", zap.String("runner", p.Name))
		l.runnerStep(o, runner.TargetRemoved{})
	case !o.handing:
		l.Log.Info("target: came back", zap.String("runner", p.Name))
		l.runnerStep(o, runner.Owned{Epoch: o.epoch, Continuous: true, LatestDeadline: l.now.Add(l.MaxTimeout), LeaseEnd: l.lease})
		if !l.now.Before(l.lease) && (o.runner.Fenced || l.paused) {
			l.runnerStep(o, runner.LeaseLapsed{})
		}
	}
}

// fit reports whether the platform's list allows new work for a target.
func (l *Loop) fit(name string) bool {
	state, known := l.presence[name]
	return !known || state == "live"
}

// tellRunners tells the membership which runners the configuration has in this region.
func (l *Loop) tellRunners() {
	var runners []host.Runner
	for _, t := range l.config.Targets {
		engine, ok := l.config.Services[t.Service].Kind().(*service.Engine)
		if !ok || t.Region != l.Region {
			continue
		}
		r := host.Runner{Name: t.Name, Zone: t.Zone, Fencing: host.IgnoresFencing{}}
		if engine.Fenced {
			r.Fencing = host.ChecksFencing{}
		}
		runners = append(runners, r)
	}
	l.memberStep(host.RunnersConfigured{Version: l.config.Version, Runners: runners})
}
