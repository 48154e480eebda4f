package lease_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/lease"
)

// TestMain chooses the seed, so that every run of the tests is the same. A
// longer run gives its own: -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// object is the lease object of a naive store, 0 while it is missing.
type object struct {
	version uint64
	value   lease.Value
	last    uint64
}

// race is a holder and two observers at one object, each in pauses of its own,
// on one clock of steps of 10 ms.
type race struct {
	rand    *rand.Rand
	now     int
	object  object
	holder  lease.Holder
	asleep  int // the holder sleeps until then
	pending []func()
	due     []int
	history []porcupine.Operation
	lost    float64
	delay   int
	broken  int
}

// use is an input of the history: the holder asks whether its lease is valid,
// or an observer deletes it.
type use struct{ breaks bool }

// model says that a life is valid until it is broken, and never again.
var model = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		broken := state.(bool)
		if input.(use).breaks {
			return true, broken || output.(bool)
		}
		return !output.(bool) || !broken, broken
	},
}

func (r *race) later(do func()) {
	r.pending = append(r.pending, do)
	r.due = append(r.due, r.now+1+r.rand.IntN(r.delay))
}

// deliver runs what is due at this step, the holder's only while it is awake.
func (r *race) deliver() {
	for i := 0; i < len(r.pending); i++ {
		if r.due[i] > r.now {
			continue
		}
		do := r.pending[i]
		r.pending = slices.Delete(r.pending, i, i+1)
		r.due = slices.Delete(r.due, i, i+1)
		i--
		do()
	}
}

func (r *race) tell(e lease.Event) {
	if r.now < r.asleep {
		r.pending = append(r.pending, func() { r.tell(e) })
		r.due = append(r.due, r.asleep)
		return
	}
	for _, a := range r.holder.Step(at(10*r.now), e) {
		r.serve(a)
	}
}

// serve carries a call of the holder to the store and back.
func (r *race) serve(a lease.Action) {
	switch a := a.(type) {
	case lease.Read:
		r.later(func() { r.reply(r.read()) })
	case lease.Write:
		r.later(func() { r.reply(r.write(a)) })
	}
}

func (r *race) reply(e lease.Event) {
	if r.rand.Float64() < r.lost {
		e = lease.Failed{Cause: lease.Unknown}
	}
	r.later(func() { r.tell(e) })
}

func (r *race) read() lease.Event {
	if r.object.version == 0 {
		return lease.Missing{}
	}
	return lease.Found{Version: r.object.version, Value: r.object.value}
}

func (r *race) write(a lease.Write) lease.Event {
	if a.Version != r.object.version {
		return lease.Failed{Cause: lease.Conflict}
	}
	r.object.last++
	r.object.version, r.object.value = r.object.last, a.Value
	return lease.Wrote{Version: r.object.version}
}

// observe lets an observer read, and break the lease where it judges it lapsed.
func (r *race) observe(client int, o *lease.Observer) {
	sent := r.now
	r.later(func() {
		version := r.object.version
		r.later(func() {
			reading := lease.ReadResult{Version: version, Sent: at(10 * sent), Answered: at(10 * r.now)}
			if o.Observe(reading, lease.DefaultDuration) && version != 0 {
				r.breakLease(client, version)
			}
		})
	})
}

func (r *race) breakLease(client int, version uint64) {
	call := r.now
	r.later(func() {
		done := r.object.version == version
		if done {
			r.object.version = 0
			r.broken++
		}
		r.later(func() { r.note(client, call, use{breaks: true}, done) })
	})
}

// note adds an operation; each step of the clock has room for its call and return.
func (r *race) note(client, call int, in use, out bool) {
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: int64(2 * call), Return: int64(2*r.now + 1),
	})
}

// TestNoValidLeaseAfterItsBreak checks by linearizability that once an observer
// has broken a lease, its holder holds that life valid no more, whatever the
// pauses, delays and lost answers.
func TestNoValidLeaseAfterItsBreak(t *testing.T) {
	broken := 0
	rapid.Check(t, func(t *rapid.T) {
		r := &race{
			rand:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			lost:  rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "lost"),
			delay: rapid.SampledFrom([]int{1, 20, 150}).Draw(t, "delay"),
		}
		r.holder.Self = self(0, 0)
		observers := make([]lease.Observer, 2)
		for r.now = 0; r.now < 6000 && r.broken == 0; r.now++ {
			r.step(observers)
		}
		for range 1000 {
			r.step(observers)
			r.now++
		}
		broken += r.broken
		require.True(t, porcupine.CheckOperations(model, r.history))
	})
	require.NotZero(t, broken)
}

func (r *race) step(observers []lease.Observer) {
	r.deliver()
	if r.now >= r.asleep {
		r.tell(lease.Tick{})
		if r.holder.Self.Generation == 0 && r.broken < 2 {
			r.note(0, r.now, use{}, r.holder.Valid(at(10*r.now)))
		}
		if r.rand.IntN(400) == 0 {
			r.asleep = r.now + r.rand.IntN(1200)
		}
	}
	if r.now%100 == 0 {
		for i := range observers {
			r.observe(1+i, &observers[i])
		}
	}
}
