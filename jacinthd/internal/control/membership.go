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
	// tablePrefix is the key prefix of the regions' assignment tables.
	tablePrefix = "assign/"
	// presencePeriod is the time between two reads of the platform's list of
	// hosts and targets.
	presencePeriod = time.Second
	// retryPeriod is the mean delay before a watch that ended is started again.
	retryPeriod = time.Second
)

// stepMember passes an event to the membership and carries out the resulting
// actions.
func (l *Loop) stepMember(event host.Event) {
	for _, action := range l.member.Step(l.now, event) {
		l.doMemberAction(action)
	}
}

func (l *Loop) doMemberAction(action host.Action) {
	switch a := action.(type) {
	case host.Get:
		go func() { l.finishStoreCall(storecall.Get(l.ctx, l.Store.Get, a)) }()
	case host.List:
		go func() { l.finishStoreCall(storecall.List(l.ctx, l.Store, a)) }()
	case host.Put:
		go func() { l.finishStoreCall(storecall.Put(l.ctx, l.Store, a)) }()
	case host.Delete:
		go func() { l.finishStoreCall(storecall.Delete(l.ctx, l.Store, a)) }()
	case host.Acquire:
		l.acquire(a)
	case host.Release:
		l.release(a.Runner)
	case host.Handover:
		l.handover(a)
	case host.Renewed:
		l.leaseEnd = a.Until
		l.paused = false
		l.permits.renew(l)
		l.stepAllRunners(runner.LeaseRenewed{LeaseEnd: a.Until})
	case host.Expired:
		l.Log.Info("lease: expired")
		l.leaseEnd = l.now
		l.permits.renew(l)
		l.expireRunnerLeases()
	case host.TableChanged:
		l.tables[l.Region] = a.Table
		l.permits.elect(l)
		l.dirty = true
	case host.Replaced:
		l.Log.Error("lease: another process runs under this host's name")
		l.signalStopped()
	case host.Stopped:
		l.Log.Info("lease: released")
		l.signalStopped()
	default:
		panic(fmt.Sprintf("control: unknown membership action %T", action))
	}
}

// expireRunnerLeases notifies the runners that the lease may no longer be held. A
// runner whose engine ignores fencing numbers is assigned to another host only once
// the platform's list shows this host as gone. Expiry alone, as in an outage of the
// object API, therefore leaves such a runner in use. After a pause this host can't
// know whether the list showed it as gone, so these runners are notified as well.
func (l *Loop) expireRunnerLeases() {
	for _, o := range l.owned {
		if o.runner.Fenced || l.paused {
			l.stepRunner(o, runner.LeaseExpired{})
		}
	}
}

// signalStopped closes the channel of Stopped, which ends the wait in Stop.
func (l *Loop) signalStopped() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
}

// Stop starts a planned stop. It returns once every runner is handed over and the
// lease is released, or when ctx ends.
func (l *Loop) Stop(ctx context.Context) error {
	l.send(stopRequested{})
	select {
	case <-l.stopped:
		return nil
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stopped returns a channel that is closed once this host's membership has ended
// permanently.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// finishStoreCall reports the result of a call on the object API to the
// membership.
func (l *Loop) finishStoreCall(event host.Event, err error) {
	if err != nil {
		l.Log.Debug("host: call on the object API failed", zap.Error(err))
	}
	l.send(storeCallDone{event})
}

// watchTables watches the assignment tables of all regions until ctx ends.
func (l *Loop) watchTables(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := l.Store.List(ctx, tablePrefix, "")
		if err == nil {
			for _, o := range page.Objects {
				l.sendTable(o)
			}
			err = l.Store.Watch(ctx, tablePrefix, page.Revision, func(c store.Event) {
				if put, ok := c.(store.Put); ok {
					l.sendTable(put.Object)
				}
			})
		}
		l.Log.Debug("host: watch ended", zap.Error(err))
		sleep(ctx, retryPeriod/2+rand.N(retryPeriod))
	}
}

// sendTable sends a region's table to the control goroutine.
func (l *Loop) sendTable(o store.Object) {
	l.send(tableChanged{region: strings.TrimPrefix(o.Key, tablePrefix), object: o})
}

// updateTable stores a region's new table. The table of this host's own region
// goes through the membership.
func (l *Loop) updateTable(m tableChanged) {
	if m.region == l.Region {
		l.stepMember(host.TableWatched{Version: m.object.Version, Value: m.object.Value})
		return
	}
	table, err := host.Decode(m.object.Value)
	if err != nil {
		l.Log.Error("host: assignment table can't be decoded", zap.String("region", m.region), zap.Error(err))
		return
	}
	l.tables[m.region] = table
	l.dirty = true
}

// watchPresence polls the platform's list of hosts and targets until ctx ends.
func (l *Loop) watchPresence(ctx context.Context) {
	for ctx.Err() == nil {
		all, err := l.Store.Hosts(ctx)
		if err == nil {
			l.send(presenceListed{all})
		}
		sleep(ctx, presencePeriod)
	}
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// presenceStates maps the states in the platform's list to the membership's states.
var presenceStates = map[string]host.PlatformState{"live": host.Live, "leaving": host.Leaving, "gone": host.Gone}

// updatePresence applies the platform's list: hosts go to the membership, targets
// to routing.
func (l *Loop) updatePresence(all []store.Presence) {
	for _, p := range all {
		if p.Kind == "host" {
			l.stepMember(host.PlatformStatus{Name: p.Name, State: presenceStates[p.State]})
			continue
		}
		l.updateTargetPresence(p)
	}
}

// updateTargetPresence stops new work for a target that is leaving, and resumes
// it for a target that has returned.
func (l *Loop) updateTargetPresence(p store.Presence) {
	accepted := l.acceptsWork(p.Name)
	l.presence[p.Name] = p.State
	if l.acceptsWork(p.Name) == accepted {
		return
	}
	l.dirty = true
	o := l.owned[p.Name]
	switch {
	case o == nil:
	case accepted:
		l.Log.Info("target: leaving", zap.String("runner", p.Name))
		l.stepRunner(o, runner.TargetRemoved{})
	case !o.handingOver:
		l.Log.Info("target: live again", zap.String("runner", p.Name))
		l.stepRunner(o, runner.Owned{Epoch: o.epoch, Continuous: true, LatestDeadline: l.now.Add(l.MaxTimeout), LeaseEnd: l.leaseEnd})
		if !l.now.Before(l.leaseEnd) && (o.runner.Fenced || l.paused) {
			l.stepRunner(o, runner.LeaseExpired{})
		}
	}
}

// acceptsWork reports whether the platform's list allows new work for a target.
// A target that the list doesn't contain is allowed new work.
func (l *Loop) acceptsWork(name string) bool {
	state, known := l.presence[name]
	return !known || state == "live"
}

// updateMemberRunners passes the configuration's runners in this region to the
// membership.
func (l *Loop) updateMemberRunners() {
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
	l.stepMember(host.RunnersConfigured{Version: l.config.Version, Runners: runners})
}
