package engine

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

// A Kind says how a connection to an engine failed.
type ErrorKind uint8

const (
	// Reset says that the engine closed or reset the connection. It is the
	// zero value.
	Reset ErrorKind = iota
	// Unreachable says that nothing was sent: no connection came about.
	Unreachable
	// Stalled says that the progress deadline passed.
	Stalled
	// InvalidReply says that the engine sent something other than was asked for.
	InvalidReply
	// Cancelled says that the caller's context ended.
	Cancelled
)

var kinds = map[ErrorKind]string{
	Reset: "connection lost", Unreachable: "not reached", Stalled: "silent",
	InvalidReply: "wrong answer", Cancelled: "call ended",
}

// A Fault is a failure of the connection or of what came over it. Only an
// Unreached one has the verdict NotRun.
type CallError struct {
	Kind  ErrorKind
	cause error
}

// Error returns the kind and the cause.
func (f *CallError) Error() string { return fmt.Sprintf("engine: %s: %v", kinds[f.Kind], f.cause) }

// Unwrap returns the cause.
func (f *CallError) Unwrap() error { return f.cause }

// Verdict says whether the request may have run.
func (f *CallError) Verdict() verdict.Verdict {
	if f.Kind == Unreachable {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// As makes a Fault readable as a *verdict.Error.
func (f *CallError) As(target any) bool {
	return as(target, verdict.Error{Verdict: f.Verdict(), Code: verdict.Interrupted, Message: "the engine failed: " + kinds[f.Kind]})
}

// A Reason is why an engine refused, as it says it.
type RefusalReason string

// The reasons of engines.
const (
	Absent       RefusalReason = "absent"  // the adapter is not resident
	WrongVersion RefusalReason = "version" // the version is not the resident one
	Full         RefusalReason = "full"    // no place, or no free slot
	RequestGone  RefusalReason = "gone"    // the request to resume is no longer known
	Fenced       RefusalReason = "fenced"  // the order's number is not above the highest
	LoadFailed   RefusalReason = "failed"  // the load failed
)

// reasons gives the code of a refused completion for each reason.
var reasons = map[RefusalReason]verdict.Code{
	Absent: verdict.Unavailable, WrongVersion: verdict.Unavailable, Full: verdict.Busy, RequestGone: verdict.Interrupted,
	Fenced: verdict.Unavailable, LoadFailed: verdict.Unavailable,
}

// A Refusal is what an engine answered in place of doing what was asked. The
// request did not run and the order had no effect.
type Refusal struct {
	Reason RefusalReason
	// FencingNumber is the highest fencing number that the engine has seen, where it
	// refused with Fenced.
	FencingNumber uint64
}

// Error returns the reason.
func (r *Refusal) Error() string { return "engine: refused: " + string(r.Reason) }

// Verdict returns NotRun, but for Gone: what is gone ran.
func (r *Refusal) Verdict() verdict.Verdict {
	if r.Reason == RequestGone {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// As makes a Refusal readable as a *verdict.Error.
func (r *Refusal) As(target any) bool {
	return as(target, verdict.Error{Verdict: r.Verdict(), Code: reasons[r.Reason], Message: "the engine refused: " + string(r.Reason)})
}

func as(target any, e verdict.Error) bool {
	into, ok := target.(**verdict.Error)
	if ok {
		*into = &e
	}
	return ok
}

// refusal reads a reply other than 200. One without a known reason promises
// nothing.
func refusal(status int, text []byte) error {
	var reply struct {
		Code   RefusalReason `json:"code"`
		Number uint64        `json:"number"`
	}
	err := json.Unmarshal(text, &reply)
	if _, known := reasons[reply.Code]; err != nil || !known {
		return &CallError{Kind: InvalidReply, cause: errors.Errorf("status %d without a known code", status)}
	}
	return &Refusal{Reason: reply.Code, FencingNumber: reply.Number}
}

// ReasonOf returns why the engine refused, empty where err is not a Refusal.
func ReasonOf(err error) RefusalReason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// Matches reports whether err is a Fault of kind.
func (k ErrorKind) Matches(err error) bool {
	var f *CallError
	return errors.As(err, &f) && f.Kind == k
}
