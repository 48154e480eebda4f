package plain

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/apierror"
	"jacinthstage/stage/ledger"
	"jacinthstage/stage/store"
)

// storePause is the pause between two tries at writing a call's outcome.
const storePause = 100 * time.Millisecond

// A single is a call that may run only once.
type single struct {
	*call
	key   string // of its record
	rest  *exchange
	saved chan struct{} // closed once the outcome is written; nil where none is
}

// once serves a call that may run only once. When the caller goes away, the
// call goes on and its outcome is recorded, so that the caller may come back
// for it.
func (c *call) once(ctx context.Context, who, key string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	s := &single{call: c, key: ledger.Key(who, c.service, key)}
	defer func() {
		if s.rest != nil {
			s.rest.close()
		}
	}()
	decide := &ledger.Call{}
	var event ledger.Event = ledger.Begin{
		Attempt:     rand.Text(),
		Fingerprint: ledger.Fingerprint(c.r.Method, c.path, c.r.URL.RawQuery, c.body),
		Deadline:    c.deadline,
		Targets:     len(c.targets),
	}
	for event != nil {
		actions := decide.Step(time.Now(), event)
		event = nil
		for _, action := range actions {
			event = s.do(ctx, action)
		}
	}
}

// do carries out one action and returns the event that follows, nil at the end.
func (s *single) do(ctx context.Context, action ledger.Action) ledger.Event {
	switch a := action.(type) {
	case ledger.Create:
		return s.write(ctx, a.Record, 0)
	case ledger.Update:
		return s.write(ctx, a.Record, a.Version)
	case ledger.Read:
		return s.read(ctx)
	case ledger.Send:
		return s.try(ctx, a.Target)
	case ledger.Finalize:
		s.save(a)
	case ledger.Reply:
		s.reply(a)
	case ledger.Refuse:
		s.settle()
		apierror.Write(s.w, a.Err)
	default:
		panic(fmt.Sprintf("plain: unknown action %T", action))
	}
	return nil
}

func (s *single) write(ctx context.Context, record ledger.Record, version uint64) ledger.Event {
	value, err := record.Encode()
	if err != nil {
		return ledger.Unavailable{}
	}
	var object store.Object
	if version == 0 {
		object, err = s.h.Store.Create(ctx, s.key, value)
	} else {
		object, err = s.h.Store.Update(ctx, s.key, version, value)
	}
	switch {
	case err == nil:
		return ledger.Written{Version: object.Version}
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return ledger.Conflict{}
	case errors.Is(err, store.ErrUnavailable):
		return ledger.Unavailable{}
	default:
		return ledger.WriteUnknown{}
	}
}

func (s *single) read(ctx context.Context) ledger.Event {
	object, err := s.h.Store.Get(ctx, s.key)
	if errors.Is(err, store.ErrNotFound) {
		return ledger.NotFound{}
	}
	if err != nil {
		return ledger.Unavailable{}
	}
	record, err := ledger.Decode(object.Value)
	if err != nil {
		s.h.Log.Error("plain: a record can't be read", zap.String("key", s.key), zap.Error(err))
		return ledger.Unavailable{}
	}
	return ledger.Found{Record: record, Version: object.Version}
}

// try sends the call to a target and reads its answer, as much as can be kept.
func (s *single) try(ctx context.Context, at int) ledger.Event {
	t := s.targets[at]
	got, err := s.send(ctx, s.h.single, t)
	if errors.Is(err, errNotSent) {
		s.h.Log.Info("plain: target "+t.Name+" can't be reached", zap.Error(err))
		return ledger.NotSent{}
	}
	if err != nil {
		return s.broken(ctx, t.Name, err)
	}
	body, err := io.ReadAll(io.LimitReader(got, ledger.MaxStoredBody+1))
	if err != nil {
		got.close()
		return s.broken(ctx, t.Name, err)
	}
	s.rest = got
	return ledger.Responded{Response: ledger.Response{Status: got.StatusCode, Header: passed(got.Header), Body: body}}
}

func (s *single) broken(ctx context.Context, name string, err error) ledger.Event {
	s.h.Log.Warn("plain: answer of target "+name+" lost", zap.String("key", s.key), zap.Error(err))
	return ledger.Interrupted{TimedOut: errors.Is(ctx.Err(), context.DeadlineExceeded)}
}

// save writes the call's outcome into its record, apart from the caller's
// answer: it goes on until it is written, has a conflict, or the deadline passes.
func (s *single) save(a ledger.Finalize) {
	s.saved = make(chan struct{})
	saved := s.saved
	s.h.tasks.Go(func() {
		defer close(saved)
		ctx, cancel := context.WithDeadline(context.Background(), s.until())
		defer cancel()
		for ctx.Err() == nil {
			switch s.write(ctx, a.Record, a.Version).(type) {
			case ledger.Written, ledger.Conflict:
				return
			default:
				time.Sleep(storePause)
			}
		}
		s.h.Log.Warn("plain: outcome not recorded", zap.String("key", s.key))
	})
}

// until is when tries at writing the outcome end: late enough for an outage
// that begins with the call to pass.
func (s *single) until() time.Time { return time.Now().Add(s.h.DefaultTimeout) }

// settle returns once the outcome is written or that takes long, so that a
// caller who comes back at once finds it.
func (s *single) settle() {
	if s.saved == nil {
		return
	}
	timer := time.NewTimer(s.h.RecordTimeout)
	defer timer.Stop()
	select {
	case <-s.saved:
	case <-timer.C:
	}
}

// reply answers the caller, once the outcome is written or that takes long.
func (s *single) reply(a ledger.Reply) {
	s.settle()
	if !a.Replayed {
		s.succeeded()
	}
	s.head(a.Response.Header, a.Response.Status)
	_, _ = s.w.Write(a.Response.Body)
	if len(a.Response.Body) > ledger.MaxStoredBody {
		s.pass(s.rest)
	}
}
