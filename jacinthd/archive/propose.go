package archive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

const (
	initialBackoff = 50 * time.Millisecond // before the first retry of a call
	maxBackoff     = time.Second           // between later retries
)

// A ConflictError reports that a patch was rejected because another patch
// already has its number.
type ConflictError struct {
	Number uint64 // number of the other patch
	Author string // author of the other patch; empty if the patch can't be decoded
	ID     string // ID of the other patch
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("patch %d: lost to the patch of %q with id %q", e.Number, e.Author, e.ID)
}

// ErrUnknownOutcome reports that Propose could not determine whether the patch
// was accepted. The audit trail shows the outcome by the ID of the patch.
var ErrUnknownOutcome = errors.New("archive: not known whether the patch was accepted")

// Propose stores the patch p as the next version of the configuration. If the
// answer to the write is lost, Propose repeats the conditional create; on a
// conflict, it reads the stored patch back and compares the IDs. A delayed first
// write and its retry can't both take effect, since both create the same key.
//
// Propose fails with *patch.Refusal if the patch doesn't apply to the newest
// configuration, with *ConflictError if another patch has the number, with
// ErrUnknownOutcome if ctx ended while the outcome was unknown, or with the
// store's error if the patch was certainly not stored.
func Propose(ctx context.Context, s store.Store, p patch.Patch) error {
	config, err := Read(ctx, s)
	if err != nil {
		return err
	}
	if config.Version > p.Base {
		return resolveConflict(ctx, s, p)
	}
	if _, err := config.Apply(p); err != nil {
		return err
	}
	data, err := p.MarshalCBOR()
	if err != nil {
		return err
	}
	return createPatch(ctx, s, p, data)
}

// createPatch tries to create the object of the patch until an answer settles
// the outcome or ctx ends.
func createPatch(ctx context.Context, s store.Store, p patch.Patch, data []byte) error {
	maybeStored := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := s.Create(ctx, PatchKey(p.Number), data)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			return resolveConflict(ctx, s, p)
		case errors.Is(err, store.ErrOutcomeUnknown):
			maybeStored = true
		case !errors.Is(err, store.ErrUnavailable):
			return err
		}
		if sleepWithJitter(ctx, backoff) != nil {
			return outcomeError(maybeStored, err)
		}
	}
}

// outcomeError returns err, or ErrUnknownOutcome if an earlier write may have
// taken effect.
func outcomeError(maybeStored bool, err error) error {
	if !maybeStored {
		return err
	}
	return errors.Wrapf(ErrUnknownOutcome, "%v", err)
}

// resolveConflict reads the patch stored under the number of p. It returns nil if
// that is p itself, *ConflictError if it is another patch, and ErrUnknownOutcome
// if ctx ended before it could be read.
func resolveConflict(ctx context.Context, s store.Store, p patch.Patch) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		o, err := s.Get(ctx, PatchKey(p.Number))
		if err == nil {
			return compareWithStored(o.Value, p)
		}
		if errors.Is(err, store.ErrNotFound) {
			return errors.Wrapf(err, "archive: patch %d", p.Number)
		}
		if sleepWithJitter(ctx, backoff) != nil {
			return errors.Wrapf(ErrUnknownOutcome, "%v", err)
		}
	}
}

// compareWithStored returns nil if data is the encoding of a patch with the ID of
// p, and *ConflictError otherwise.
func compareWithStored(data []byte, p patch.Patch) error {
	other, err := patch.Decode(data)
	if err != nil {
		return &ConflictError{Number: p.Number}
	}
	if other.ID == p.ID {
		return nil
	}
	return &ConflictError{Number: p.Number, Author: other.Author, ID: other.ID}
}

// sleepWithJitter sleeps for half of backoff plus a random part of the other half,
// or until ctx is done.
func sleepWithJitter(ctx context.Context, backoff time.Duration) error {
	delay := backoff/2 + rand.N(backoff/2)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}
