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

// TestMain sets a default seed and number of checks, so that test runs are
// reproducible. Longer runs override them with -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		isSet := false
		flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
		if !isSet {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// object is the lease object in a simulated store.
type object struct {
	version     uint64 // 0 while the object does not exist
	value       lease.Value
	lastVersion uint64 // newest version ever assigned
}

// race simulates a holder that pauses at random, and two observers, on one lease
// object. Its clock advances in steps of 10 ms.
type race struct {
	rand        *rand.Rand
	now         int
	object      object
	holder      lease.Holder
	pausedUntil int // step until which the holder is paused
	pending     []func()
	due         []int
	history     []porcupine.Operation
	answerLoss  float64
	maxDelay    int
	revoked     int
}

// operation is an input of the history: the holder checks whether its lease is
// valid or, if revokes is set, an observer deletes the lease.
type operation struct{ revokes bool }

// model specifies that a generation may be valid until it is revoked, and never
// afterwards.
var model = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		revoked := state.(bool)
		if input.(operation).revokes {
			return true, revoked || output.(bool)
		}
		return !output.(bool) || !revoked, revoked
	},
}

func (r *race) schedule(do func()) {
	r.pending = append(r.pending, do)
	r.due = append(r.due, r.now+1+r.rand.IntN(r.maxDelay))
}

// deliver runs what is due at this step. Events for a paused holder are deferred.
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

func (r *race) deliverEvent(e lease.Event) {
	if r.now < r.pausedUntil {
		r.pending = append(r.pending, func() { r.deliverEvent(e) })
		r.due = append(r.due, r.pausedUntil)
		return
	}
	for _, a := range r.holder.Step(at(10*r.now), e) {
		r.serve(a)
	}
}

// serve delivers a call of the holder to the store and its answer to the holder.
func (r *race) serve(a lease.Action) {
	switch a := a.(type) {
	case lease.Read:
		r.schedule(func() { r.reply(r.read()) })
	case lease.Write:
		r.schedule(func() { r.reply(r.write(a)) })
	}
}

func (r *race) reply(e lease.Event) {
	if r.rand.Float64() < r.answerLoss {
		e = lease.Failed{Cause: lease.Unknown}
	}
	r.schedule(func() { r.deliverEvent(e) })
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
	r.object.lastVersion++
	r.object.version, r.object.value = r.object.lastVersion, a.Value
	return lease.Wrote{Version: r.object.version}
}

// observe makes an observer read the lease, and revoke it if it has expired.
func (r *race) observe(client int, o *lease.Observer) {
	sent := r.now
	r.schedule(func() {
		version := r.object.version
		r.schedule(func() {
			result := lease.ReadResult{Version: version, Sent: at(10 * sent), Answered: at(10 * r.now)}
			if o.Observe(result, lease.DefaultDuration) && version != 0 {
				r.revokeLease(client, version)
			}
		})
	})
}

func (r *race) revokeLease(client int, version uint64) {
	call := r.now
	r.schedule(func() {
		revoked := r.object.version == version
		if revoked {
			r.object.version = 0
			r.revoked++
		}
		r.schedule(func() { r.record(client, call, operation{revokes: true}, revoked) })
	})
}

// record adds an operation to the history. Each step of the clock maps to two
// history times, the first for calls and the second for returns.
func (r *race) record(client, call int, in operation, out bool) {
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: int64(2 * call), Return: int64(2*r.now + 1),
	})
}

// TestNoValidLeaseAfterRevocation checks by linearizability that once an observer
// has revoked a lease, its holder never again considers that generation valid,
// whatever the pauses, delays and lost answers.
func TestNoValidLeaseAfterRevocation(t *testing.T) {
	revoked := 0
	rapid.Check(t, func(t *rapid.T) {
		r := &race{
			rand:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			answerLoss: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "answer loss"),
			maxDelay:   rapid.SampledFrom([]int{1, 20, 150}).Draw(t, "delay"),
		}
		r.holder.Self = self(0, 0)
		observers := make([]lease.Observer, 2)
		for r.now = 0; r.now < 6000 && r.revoked == 0; r.now++ {
			r.step(observers)
		}
		for range 1000 {
			r.step(observers)
			r.now++
		}
		revoked += r.revoked
		require.True(t, porcupine.CheckOperations(model, r.history))
	})
	require.NotZero(t, revoked)
}

func (r *race) step(observers []lease.Observer) {
	r.deliver()
	if r.now >= r.pausedUntil {
		r.deliverEvent(lease.Tick{})
		if r.holder.Self.Generation == 0 && r.revoked < 2 {
			r.record(0, r.now, operation{}, r.holder.Valid(at(10*r.now)))
		}
		if r.rand.IntN(400) == 0 {
			r.pausedUntil = r.now + r.rand.IntN(1200)
		}
	}
	if r.now%100 == 0 {
		for i := range observers {
			r.observe(1+i, &observers[i])
		}
	}
}
