package direct

import (
	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
	"go.uber.org/zap"
)

// A phase is where a process stands in its life.
type phase string

// The phases of a process.
const (
	starting phase = "starting" // no configuration yet: callers are told to come back
	serving  phase = "serving"
	stopping phase = "stopping" // not ready, but requests are still taken
	stopped  phase = "stopped"
)

// A step takes a process from one phase to the next.
type step string

// The steps of a process.
const (
	configured step = "configured"
	stop       step = "stop"
	ended      step = "ended"
)

// A life is a process's life cycle. It may be used by several goroutines at once.
type life struct {
	machine *stateless.StateMachine
	log     *zap.Logger
}

func newLife(log *zap.Logger) *life {
	m := stateless.NewStateMachine(starting)
	m.Configure(starting).Permit(configured, serving).Permit(stop, stopping)
	m.Configure(serving).Ignore(configured).Permit(stop, stopping)
	m.Configure(stopping).Ignore(configured).Ignore(stop).Permit(ended, stopped)
	m.Configure(stopped).Ignore(configured).Ignore(stop).Ignore(ended)
	return &life{machine: m, log: log}
}

// take goes a step and logs the phase that it leads to.
func (l *life) take(s step) {
	before := l.phase()
	if err := l.machine.Fire(s); err != nil {
		l.log.Error("host: step not possible", zap.String("phase", string(before)), zap.Error(errors.WithStack(err)))
		return
	}
	if after := l.phase(); after != before {
		l.log.Info("host: "+string(after), zap.String("before", string(before)))
	}
}

func (l *life) phase() phase { return l.machine.MustState().(phase) }

// ready reports whether the process takes new connections.
func (l *life) ready() bool { return l.phase() == serving }

// leaving reports whether a planned stop has begun.
func (l *life) leaving() bool {
	p := l.phase()
	return p == stopping || p == stopped
}
