package engine

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

// An ErrorKind classifies the failure of a call to an engine.
type ErrorKind uint8

const (
	// Reset means that the engine closed or reset the connection. It is the zero
	// value.
	Reset ErrorKind = iota
	// Unreachable means that no connection could be opened and nothing was sent.
	Unreachable
	// Stalled means that the progress deadline passed.
	Stalled
	// InvalidReply means that the engine sent something other than what was requested.
	InvalidReply
	// Cancelled means that the caller's context ended.
	Cancelled
)

var kindTexts = map[ErrorKind]string{
	Reset: "connection lost", Unreachable: "not reached", Stalled: "silent",
	InvalidReply: "wrong answer", Cancelled: "call ended",
}

// A CallError is a failure of the connection or an invalid reply. Only the kind
// Unreachable has the verdict NotRun.
type CallError struct {
	Kind  ErrorKind
	cause error
}

// Error returns the kind and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("engine: %s: %v", kindTexts[e.Kind], e.cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// Verdict returns whether the request may have run.
func (e *CallError) Verdict() verdict.Verdict {
	if e.Kind == Unreachable {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// As makes a CallError readable as a *verdict.Error.
func (e *CallError) As(target any) bool {
	return asVerdict(target, verdict.Error{Verdict: e.Verdict(), Code: verdict.Interrupted, Message: "the engine failed: " + kindTexts[e.Kind]})
}

// A RefusalReason is the reason for a refusal, as the engine sends it.
type RefusalReason string

// The reasons that engines send.
const (
	Absent       RefusalReason = "absent"  // the adapter is not resident
	WrongVersion RefusalReason = "version" // another version of the adapter is resident
	Full         RefusalReason = "full"    // no free batch slot or adapter slot
	RequestGone  RefusalReason = "gone"    // the request to resume is no longer known
	Fenced       RefusalReason = "fenced"  // the order's fencing number is not above the highest seen
	LoadFailed   RefusalReason = "failed"  // the load failed
)

// reasonCodes maps each reason to the error code of a refused completion.
var reasonCodes = map[RefusalReason]verdict.Code{
	Absent: verdict.Unavailable, WrongVersion: verdict.Unavailable, Full: verdict.Busy, RequestGone: verdict.Interrupted,
	Fenced: verdict.Unavailable, LoadFailed: verdict.Unavailable,
}

// A Refusal is an engine's refusal of a request or an order. An order had no
// effect, and a request did not run, unless the reason is RequestGone.
type Refusal struct {
	Reason RefusalReason
	// FencingNumber is the highest fencing number that the engine has seen. It is
	// set if the reason is Fenced.
	FencingNumber uint64
}

// Error returns the reason.
func (r *Refusal) Error() string { return "engine: refused: " + string(r.Reason) }

// Verdict returns NotRun, except for RequestGone: a request that is gone has run.
func (r *Refusal) Verdict() verdict.Verdict {
	if r.Reason == RequestGone {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// As makes a Refusal readable as a *verdict.Error.
func (r *Refusal) As(target any) bool {
	return asVerdict(target, verdict.Error{Verdict: r.Verdict(), Code: reasonCodes[r.Reason], Message: "the engine refused: " + string(r.Reason)})
}

func asVerdict(target any, e verdict.Error) bool {
	out, ok := target.(**verdict.Error)
	if ok {
		*out = &e
	}
	return ok
}

// parseRefusal decodes a reply with a status other than 200. A reply without a known
// reason becomes a CallError, which doesn't rule out that the request ran.
func parseRefusal(status int, text []byte) error {
	var reply struct {
		Code   RefusalReason `json:"code"`
		Number uint64        `json:"number"`
	}
	err := json.Unmarshal(text, &reply)
	if _, known := reasonCodes[reply.Code]; err != nil || !known {
		return &CallError{Kind: InvalidReply, cause: errors.Errorf("status %d without a known code", status)}
	}
	return &Refusal{Reason: reply.Code, FencingNumber: reply.Number}
}

// ReasonOf returns the reason for a refusal, or an empty string if err is not a
// Refusal.
func ReasonOf(err error) RefusalReason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// Matches reports whether err is a CallError of kind k.
func (k ErrorKind) Matches(err error) bool {
	var e *CallError
	return errors.As(err, &e) && e.Kind == k
}
