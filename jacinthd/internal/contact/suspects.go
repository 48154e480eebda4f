package contact

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"jacinthstage/jacinthd/internal/metrics"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/store"
	"jacinthstage/stage/suspect"
)

const (
	// crashProbeTimeout limits the time in which a host finds out whether a target
	// refuses new connections after one of its connections broke.
	crashProbeTimeout = 150 * time.Millisecond
	// maxOtherProbes is the number of other targets that are tried then.
	maxOtherProbes = 3
	// suspectCallTimeout limits each call to the store for a suspect, and
	// suspectCallInterval is the time between two tries.
	suspectCallTimeout  = 2 * time.Second
	suspectCallInterval = 2 * time.Second
	// suspectWriteDelay is the time from when a trait is refused until it is written.
	suspectWriteDelay = time.Second
	// maxStoredCrashes is the number of crashes of a stored record that is not updated any
	// more: further ones don't change what a host decides.
	maxStoredCrashes = 5
)

// Suspects keeps requests that crash targets from being sent to further ones. The
// List decides which these are; Suspects observes crashes, and keeps the refused
// traits in the store for a host that starts while no other runs. All fields but
// List must be set.
type Suspects struct {
	List    suspect.List
	Pool    *outbound.Pool
	Store   store.Objects
	Metrics *metrics.Host
	Log     *zap.Logger
	// Ready, if set, returns the addresses of the targets that should accept connections.
	Ready func(now time.Time) []netip.AddrPort

	probes     singleflight.Group
	writing    sync.Map // traits that are being written to the store
	unanswered suspect.Attempts
}

// TargetEnded adds a crash to the requests that got no answer from a target whose
// process has ended, as the list of targets shows.
func (s *Suspects) TargetEnded(target catalog.Target) {
	for _, a := range s.unanswered.Take(time.Now(), crashOf(target)) {
		s.Crashed(a, target)
	}
}

// Crashed adds a crash of a target to an attempt that was in progress there.
func (s *Suspects) Crashed(a suspect.Attempt, target catalog.Target) {
	s.Metrics.Crashes.Inc()
	refused := s.List.Crashed(time.Now(), a.At, a.Request, crashOf(target))
	traits := a.Request.Traits()
	counts := make([]int, len(traits))
	for i, t := range traits {
		counts[i] = s.List.Crashes(t)
	}
	s.Log.Warn("suspect: target ended with the request in progress", zap.String("id", a.ID), zap.String("target", target.Name),
		zap.Stringer("caller", a.Caller), zap.String("path", a.Path), zap.Stringers("traits", traits), zap.Ints("crashes", counts), zap.Stringers("refused", refused))
	for _, t := range refused {
		go s.write(context.Background(), t)
	}
}

// NoAnswer records that an attempt got no answer from a target, in case the target turns
// out to have ended.
func (s *Suspects) NoAnswer(now time.Time, target catalog.Target, a suspect.Attempt) {
	s.unanswered.Add(now, crashOf(target), a)
}

// crashOf returns the crash that the unannounced end of a target's process is.
func crashOf(t catalog.Target) suspect.Crash { return suspect.NewCrash(t.Name, t.Started) }

// HasEnded reports whether a target refuses connections, as its host does once the
// target's process has ended. A connection that is opened to find out is kept for
// later requests.
func (s *Suspects) HasEnded(ctx context.Context, target catalog.Target) bool {
	ended, _, _ := s.probes.Do(strconv.FormatUint(uint64(crashOf(target)), 16), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		err := s.Pool.Open(ctx, target.Address)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			s.Log.Info("suspect: unknown whether the target ended", zap.String("target", target.Name), zap.Error(err))
		}
		return errors.Is(err, syscall.ECONNREFUSED) && s.reachesOthers(ctx, target), nil
	})
	return ended.(bool)
}

// reachesOthers reports whether this host can connect to another target than the one that
// refuses it. Otherwise its own links may be at fault.
func (s *Suspects) reachesOthers(ctx context.Context, than catalog.Target) bool {
	if s.Ready == nil {
		return true
	}
	others := slices.DeleteFunc(s.Ready(time.Now()), func(a netip.AddrPort) bool { return a == than.Address })
	if len(others) == 0 {
		return true
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, a := range others[:min(len(others), maxOtherProbes)] {
		if s.Pool.Open(ctx, a) == nil {
			return true
		}
	}
	s.Log.Info("suspect: unknown whether the target ended, no other is reached", zap.String("target", than.Name))
	return false
}

// Merge adds what another host told.
func (s *Suspects) Merge(from string, all []suspect.Sighting) {
	for _, t := range s.List.Merge(time.Now(), all) {
		s.Log.Info("suspect: crash learned from a host", zap.String("host", from), zap.Stringer("trait", t),
			zap.Int("crashes", s.List.Crashes(t)), zap.Bool("refused", s.List.IsRefused(t)))
	}
}

// write writes a refused trait to the store, and tries again until it succeeds or the trait
// isn't refused any more. It waits first, since many traits are soon cleared.
func (s *Suspects) write(ctx context.Context, t suspect.Trait) {
	if _, busy := s.writing.LoadOrStore(t, true); busy {
		return
	}
	defer s.writing.Delete(t)
	time.Sleep(suspectWriteDelay)
	for {
		record, refused := s.List.Record(t)
		if !refused {
			return
		}
		err := s.put(ctx, t, record)
		if err == nil {
			s.Log.Info("suspect: written to the store", zap.Stringer("trait", t), zap.Int("crashes", len(record.Crashes)), zap.Time("until", record.Expires))
			return
		}
		s.Log.Warn("suspect: not written to the store", zap.Stringer("trait", t), zap.Error(err))
		time.Sleep(suspectCallInterval)
	}
}

// WriteAgain writes all refused traits to the store, which may have lost them.
func (s *Suspects) WriteAgain() {
	for _, t := range s.List.Refused() {
		go s.write(context.Background(), t)
	}
}

// put stores a record unless the stored one has enough crashes.
func (s *Suspects) put(ctx context.Context, t suspect.Trait, r suspect.Record) error {
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	_, err := s.Store.Create(ctx, t.Key(), r.Encode())
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	o, err := s.Store.Get(ctx, t.Key())
	if err != nil {
		return err
	}
	if known, err := suspect.Decode(o.Value); err == nil && time.Now().Before(known.Expires) && len(known.Crashes) >= min(len(r.Crashes), maxStoredCrashes) {
		return nil
	}
	_, err = s.Store.Update(ctx, t.Key(), o.Version, r.Encode())
	return err
}

// Remove deletes a trait from the store.
func (s *Suspects) Remove(ctx context.Context, t suspect.Trait) {
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	o, err := s.Store.Get(ctx, t.Key())
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err == nil {
		err = s.Store.Delete(ctx, t.Key(), o.Version)
	}
	s.Log.Info("suspect: deleted from the store", zap.Stringer("trait", t), zap.Error(err))
}

// Restore reads the refused traits from the store. It tries again until it succeeds
// or ctx ends.
func (s *Suspects) Restore(ctx context.Context) {
	for {
		n, err := s.readAll(ctx)
		if err == nil {
			s.Log.Info("suspect: read from the store", zap.Int("traits", n))
			return
		}
		s.Log.Warn("suspect: not read from the store", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(suspectCallInterval):
		}
	}
}

func (s *Suspects) readAll(ctx context.Context) (n int, err error) {
	err = store.Each(ctx, s.Store, suspect.KeyPrefix, suspectCallTimeout, func(o store.Object) {
		if s.restore(ctx, o) {
			n++
		}
	})
	return n, err
}

// restore adds a refused trait from the store, or deletes its object if it has
// expired. It reports whether it added one.
func (s *Suspects) restore(ctx context.Context, o store.Object) bool {
	t, ok := suspect.ParseKey(o.Key)
	r, err := suspect.Decode(o.Value)
	if !ok || err != nil {
		s.Log.Warn("suspect: object can't be read", zap.String("key", o.Key), zap.Error(err))
		return false
	}
	if now := time.Now(); now.Before(r.Expires) {
		s.List.Restore(now, t, r.Crashes)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	if err := s.Store.Delete(ctx, o.Key, o.Version); err != nil {
		s.Log.Warn("suspect: expired object not deleted", zap.String("key", o.Key), zap.Error(err))
	}
	return false
}
