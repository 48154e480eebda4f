package daemon

import (
	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
	"go.uber.org/zap"
)

// A phase is a state of the process's lifecycle.
type phase string

// The phases of a process.
const (
	starting phase = "starting" // no configuration yet: callers are refused and may try again
	serving  phase = "serving"
	stopping phase = "stopping" // not ready, but still accepting requests
	draining phase = "draining" // finishing the requests in progress, refusing others
	stopped  phase = "stopped"
)

// A trigger moves the process from one phase to the next.
type trigger string

// The triggers of the lifecycle.
const (
	configured trigger = "configured"
	stop       trigger = "stop"
	drain      trigger = "drain"
	ended      trigger = "ended"
)

// A lifecycle is the state machine of a process's phases. It is safe for concurrent
// use.
type lifecycle struct {
	machine *stateless.StateMachine
	log     *zap.Logger
}

func newLifecycle(log *zap.Logger) *lifecycle {
	m := stateless.NewStateMachine(starting)
	m.Configure(starting).Permit(configured, serving).Permit(stop, stopping)
	m.Configure(serving).Ignore(configured).Permit(stop, stopping)
	m.Configure(stopping).Ignore(configured).Ignore(stop).Permit(drain, draining)
	m.Configure(draining).Ignore(configured).Ignore(stop).Ignore(drain).Permit(ended, stopped)
	m.Configure(stopped).Ignore(configured).Ignore(stop).Ignore(drain).Ignore(ended)
	return &lifecycle{machine: m, log: log}
}

// fire applies a trigger and logs the new phase if it differs.
func (l *lifecycle) fire(t trigger) {
	before := l.phase()
	if err := l.machine.Fire(t); err != nil {
		l.log.Error("host: lifecycle transition not possible", zap.String("phase", string(before)), zap.Error(errors.WithStack(err)))
		return
	}
	if after := l.phase(); after != before {
		l.log.Info("host: "+string(after), zap.String("before", string(before)))
	}
}

func (l *lifecycle) phase() phase { return l.machine.MustState().(phase) }

// ready reports whether the host is ready to serve callers.
func (l *lifecycle) ready() bool { return l.phase() == serving }

// isStopping reports whether a planned stop has begun.
func (l *lifecycle) isStopping() bool { return l.phase() == stopping || l.isDraining() }

// isDraining reports whether the host passes no further requests on.
func (l *lifecycle) isDraining() bool {
	p := l.phase()
	return p == draining || p == stopped
}
