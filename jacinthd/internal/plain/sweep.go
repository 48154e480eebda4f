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
	// sweepPeriod is the mean time between two pages.
	sweepPeriod = time.Minute
	// maxDeletesPerSecond limits the deletes of records. It is far below the rate of
	// writes that the object API sustains.
	maxDeletesPerSecond = 10
)

// A Sweeper deletes the records of calls whose retention period has ended. Of all
// hosts' sweepers, only the one that holds the claim does so.
type Sweeper struct {
	Store store.Store
	Host  string // this host's name
	Log   *zap.Logger
}

// Run sweeps one page of records at a time until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	limiter := rate.NewLimiter(maxDeletesPerSecond, 1)
	for {
		timer := time.NewTimer(sweepPeriod/2 + rand.N(sweepPeriod))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if err := s.sweepPage(ctx, limiter); err != nil && ctx.Err() == nil {
			s.Log.Info("plain: sweep failed, will be retried", zap.Error(err))
		}
	}
}

// sweepPage takes or renews the claim, deletes the expired records of the next page,
// and writes the position reached into the claim.
func (s *Sweeper) sweepPage(ctx context.Context, limiter *rate.Limiter) error {
	claim, version, err := s.takeClaim(ctx)
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
		if err := s.deleteExpired(ctx, limiter, object); err != nil {
			return err
		}
	}
	_, err = s.writeClaim(ctx, claim, version)
	return err
}

// takeClaim takes the claim and returns it with the version of its object. The version
// is 0 if another host holds the claim.
func (s *Sweeper) takeClaim(ctx context.Context) (ledger.Claim, uint64, error) {
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
	version, err := s.writeClaim(ctx, claim, object.Version)
	return claim, version, err
}

// writeClaim writes the claim if its object still has the given version, or creates it
// if version is 0. It returns the new version.
func (s *Sweeper) writeClaim(ctx context.Context, claim ledger.Claim, version uint64) (uint64, error) {
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

// deleteExpired deletes a record if it has expired and was not written since it was
// read.
func (s *Sweeper) deleteExpired(ctx context.Context, limiter *rate.Limiter, object store.Object) error {
	record, err := ledger.Decode(object.Value)
	if err != nil {
		s.Log.Error("plain: failed to decode record", zap.String("key", object.Key), zap.Error(err))
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
