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
	firstWait = 50 * time.Millisecond // before the first repetition of a call
	mostWait  = time.Second           // between repetitions
)

// A Lost says that a patch was refused since another one got its number.
type ConflictError struct {
	Number uint64 // the number that the other patch got
	Author string // who sent the other one, empty where that can't be read
	ID     string // the other one's id
}

// Error names the number and the author of the other patch.
func (l *ConflictError) Error() string {
	return fmt.Sprintf("patch %d: lost to the patch of %q with id %q", l.Number, l.Author, l.ID)
}

// ErrUnknownOutcome says that it couldn't be learnt whether a patch was accepted.
// The audit trail shows it, by the patch's id.
var ErrUnknownOutcome = errors.New("archive: not known whether the patch was accepted")

// Propose sends a patch. Where its answer is lost, Propose reads back by the
// patch's id, and repeats the conditional create where nothing is there yet: a
// late first write and its repetition can't both take effect. It fails with
// *patch.Refusal where the patch doesn't apply to the newest configuration,
// *Lost where another patch has the number, ErrUndecided where ctx ended with
// the outcome unknown, or the store's error where the patch surely wasn't sent.
func Propose(ctx context.Context, s store.Store, p patch.Patch) error {
	config, err := Read(ctx, s)
	if err != nil {
		return err
	}
	if config.Version > p.Base {
		return settle(ctx, s, p)
	}
	if _, err := config.Apply(p); err != nil {
		return err
	}
	data, err := p.MarshalCBOR()
	if err != nil {
		return err
	}
	return send(ctx, s, p, data)
}

// send creates the patch's object until an answer decides.
func send(ctx context.Context, s store.Store, p patch.Patch, data []byte) error {
	unknown := false
	for wait := firstWait; ; wait = min(2*wait, mostWait) {
		_, err := s.Create(ctx, PatchKey(p.Number), data)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			return settle(ctx, s, p)
		case errors.Is(err, store.ErrOutcomeUnknown):
			unknown = true
		case !errors.Is(err, store.ErrUnavailable):
			return err
		}
		if pause(ctx, wait) != nil {
			return decided(unknown, err)
		}
	}
}

// decided returns err, or ErrUndecided where a write may have taken effect.
func decided(unknown bool, err error) error {
	if !unknown {
		return err
	}
	return errors.Wrapf(ErrUnknownOutcome, "%v", err)
}

// settle reads which patch has the number: nil where it is p itself, else
// *Lost, or ErrUndecided where ctx ended before it could be read.
func settle(ctx context.Context, s store.Store, p patch.Patch) error {
	for wait := firstWait; ; wait = min(2*wait, mostWait) {
		o, err := s.Get(ctx, PatchKey(p.Number))
		if err == nil {
			return compare(o.Value, p)
		}
		if errors.Is(err, store.ErrNotFound) {
			return errors.Wrapf(err, "archive: patch %d", p.Number)
		}
		if pause(ctx, wait) != nil {
			return errors.Wrapf(ErrUnknownOutcome, "%v", err)
		}
	}
}

func compare(data []byte, p patch.Patch) error {
	other, err := patch.Decode(data)
	if err != nil {
		return &ConflictError{Number: p.Number}
	}
	if other.ID == p.ID {
		return nil
	}
	return &ConflictError{Number: p.Number, Author: other.Author, ID: other.ID}
}

// pause waits for half of wait and a random part of the other half.
func pause(ctx context.Context, wait time.Duration) error {
	jittered := wait/2 + rand.N(wait/2)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(jittered):
		return nil
	}
}
