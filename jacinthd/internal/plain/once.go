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

// recordRetryInterval is the pause between two attempts to write a call's outcome.
const recordRetryInterval = 100 * time.Millisecond

// A onceCall is a call that may run only once.
type onceCall struct {
	*call
	key      string // of the call's record
	exchange *exchange
	saved    chan struct{} // closed when saving the outcome has ended; nil if there is none
}

// serveOnce serves a call that may run only once. If the caller disconnects, the call
// continues and its outcome is recorded, so that the caller can retrieve it later with
// the same key.
func (c *call) serveOnce(ctx context.Context, callerName, key string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	s := &onceCall{call: c, key: ledger.Key(callerName, c.service, key)}
	defer func() {
		if s.exchange != nil {
			s.exchange.close()
		}
	}()
	state := &ledger.Call{}
	var event ledger.Event = ledger.Begin{
		Attempt:     rand.Text(),
		Fingerprint: ledger.Fingerprint(c.r.Method, c.path, c.r.URL.RawQuery, c.body),
		Deadline:    c.deadline,
		Targets:     len(c.targets),
	}
	for event != nil {
		actions := state.Step(time.Now(), event)
		event = nil
		for _, action := range actions {
			event = s.perform(ctx, action)
		}
	}
}

// perform carries out one action and returns the resulting event, or nil if the action
// has none.
func (s *onceCall) perform(ctx context.Context, action ledger.Action) ledger.Event {
	switch a := action.(type) {
	case ledger.Create:
		return s.writeRecord(ctx, a.Record, 0)
	case ledger.Update:
		return s.writeRecord(ctx, a.Record, a.Version)
	case ledger.Read:
		return s.readRecord(ctx)
	case ledger.Send:
		return s.sendTo(ctx, a.Target)
	case ledger.Finalize:
		s.saveOutcome(a)
	case ledger.Reply:
		s.reply(a)
	case ledger.Refuse:
		s.awaitRecord()
		apierror.Write(s.w, a.Err)
	default:
		panic(fmt.Sprintf("plain: unknown action %T", action))
	}
	return nil
}

// writeRecord creates the record if version is 0, or else updates it.
func (s *onceCall) writeRecord(ctx context.Context, record ledger.Record, version uint64) ledger.Event {
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

// readRecord reads the call's record.
func (s *onceCall) readRecord(ctx context.Context) ledger.Event {
	object, err := s.h.Store.Get(ctx, s.key)
	if errors.Is(err, store.ErrNotFound) {
		return ledger.NotFound{}
	}
	if err != nil {
		return ledger.Unavailable{}
	}
	record, err := ledger.Decode(object.Value)
	if err != nil {
		s.h.Log.Error("plain: failed to decode record", zap.String("key", s.key), zap.Error(err))
		return ledger.Unavailable{}
	}
	return ledger.Found{Record: record, Version: object.Version}
}

// sendTo sends the call to the target with the given index. It reads one byte more of
// the answer's body than can be recorded.
func (s *onceCall) sendTo(ctx context.Context, index int) ledger.Event {
	t := s.targets[index]
	ex, err := s.send(ctx, newConnection, t)
	if errors.Is(err, errNotSent) {
		s.h.Log.Info("plain: target "+t.Name+" is unreachable", zap.Error(err))
		return ledger.NotSent{}
	}
	if err != nil {
		return s.answerLost(ctx, t.Name, err)
	}
	body, err := io.ReadAll(io.LimitReader(ex, ledger.MaxStoredBody+1))
	if err != nil {
		ex.close()
		return s.answerLost(ctx, t.Name, err)
	}
	s.exchange = ex
	return ledger.Responded{Response: ledger.Response{Status: ex.StatusCode, Header: endToEndHeaders(ex.Header), Body: body}}
}

// answerLost returns the event for a call that was sent but whose answer was lost.
func (s *onceCall) answerLost(ctx context.Context, name string, err error) ledger.Event {
	s.h.Log.Warn("plain: answer of target "+name+" lost", zap.String("key", s.key), zap.Error(err))
	return ledger.Interrupted{TimedOut: errors.Is(ctx.Err(), context.DeadlineExceeded)}
}

// saveOutcome writes the call's outcome into its record in the background,
// independently of the answer to the caller. It retries until the record is written,
// there is a conflict, or the time of saveDeadline has passed.
func (s *onceCall) saveOutcome(a ledger.Finalize) {
	s.saved = make(chan struct{})
	saved := s.saved
	s.h.writes.Go(func() {
		defer close(saved)
		ctx, cancel := context.WithDeadline(context.Background(), s.saveDeadline())
		defer cancel()
		for ctx.Err() == nil {
			switch s.writeRecord(ctx, a.Record, a.Version).(type) {
			case ledger.Written, ledger.Conflict:
				return
			default:
				time.Sleep(recordRetryInterval)
			}
		}
		s.h.Log.Warn("plain: outcome not recorded", zap.String("key", s.key))
	})
}

// saveDeadline returns the time when attempts to write the outcome end. It leaves
// time for an outage of the object API that began with the call to end.
func (s *onceCall) saveDeadline() time.Time { return time.Now().Add(s.h.DefaultTimeout) }

// awaitRecord waits until the outcome is written, but at most RecordTimeout, so that a
// caller that sends the call again at once finds the outcome.
func (s *onceCall) awaitRecord() {
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

// reply answers the caller after awaitRecord.
func (s *onceCall) reply(a ledger.Reply) {
	s.awaitRecord()
	if !a.Replayed {
		s.countSuccess()
	}
	s.writeHead(a.Response.Header, a.Response.Status)
	_, _ = s.w.Write(a.Response.Body)
	if len(a.Response.Body) > ledger.MaxStoredBody {
		s.copyBody(s.exchange)
	}
}
