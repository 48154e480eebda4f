package plain

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jacinthstage/stage/ledger"
	"jacinthstage/stage/store"
)

const (
	// sweepPeriod is the mean time between two pages of a sweep.
	sweepPeriod = time.Minute
	// sweepRate limits deletes of records a second, far below the rate of writes
	// of the object API.
	sweepRate = 10
)

// A Sweeper deletes the records of calls whose retention has ended. Of all
// hosts' sweepers the one with the claim works.
type Sweeper struct {
	Store store.Store
	Host  string // this host's name
	Log   *zap.Logger
}

// Run sweeps a page at a time until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	limiter := rate.NewLimiter(sweepRate, 1)
	for {
		timer := time.NewTimer(sweepPeriod/2 + rand.N(sweepPeriod))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if err := s.page(ctx, limiter); err != nil && ctx.Err() == nil {
			s.Log.Info("plain: sweep put off", zap.Error(err))
		}
	}
}

// page takes the claim, deletes the expired records of the next page, and
// writes into the claim how far it has come.
func (s *Sweeper) page(ctx context.Context, limiter *rate.Limiter) error {
	claim, version, err := s.claim(ctx)
	if err != nil || version == 0 {
		return err
	}
	page, err := s.Store.List(ctx, ledger.KeyPrefix, claim.After)
	if err != nil {
		return err
	}
	claim.After = ""
	if page.More && len(page.Objects) > 0 {
		claim.After = page.Objects[len(page.Objects)-1].Key
	}
	for _, object := range page.Objects {
		if err := s.clear(ctx, limiter, object); err != nil {
			return err
		}
	}
	_, err = s.write(ctx, claim, version)
	return err
}

// claim returns the claim and the version of its object, 0 where another host has it.
func (s *Sweeper) claim(ctx context.Context) (ledger.Claim, uint64, error) {
	var claim ledger.Claim
	object, err := s.Store.Get(ctx, ledger.ClaimKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return claim, 0, err
	default:
		if err := json.Unmarshal(object.Value, &claim); err != nil {
			return claim, 0, errors.Wrap(err, "sweep")
		}
	}
	claim, ok := claim.Take(time.Now(), s.Host)
	if !ok {
		return claim, 0, nil
	}
	version, err := s.write(ctx, claim, object.Version)
	return claim, version, err
}

// write writes the claim at a version, 0 where there is none, and returns the next.
func (s *Sweeper) write(ctx context.Context, claim ledger.Claim, version uint64) (uint64, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return 0, errors.Wrap(err, "sweep")
	}
	var object store.Object
	if version == 0 {
		object, err = s.Store.Create(ctx, ledger.ClaimKey, value)
	} else {
		object, err = s.Store.Update(ctx, ledger.ClaimKey, version, value)
	}
	return object.Version, err
}

// clear deletes a record that has expired; one that was written since stays.
func (s *Sweeper) clear(ctx context.Context, limiter *rate.Limiter, object store.Object) error {
	record, err := ledger.Decode(object.Value)
	if err != nil {
		s.Log.Error("plain: a record can't be read", zap.String("key", object.Key), zap.Error(err))
		return nil
	}
	if !record.Expired(time.Now()) {
		return nil
	}
	if err := limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "sweep")
	}
	err = s.Store.Delete(ctx, object.Key, object.Version)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
