package engine

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

// A Kind says how a connection to an engine failed.
type Kind uint8

const (
	// Reset says that the engine closed or reset the connection. It is the
	// zero value.
	Reset Kind = iota
	// Unreached says that nothing was sent: no connection came about.
	Unreached
	// Silent says that the progress deadline passed.
	Silent
	// Mismatch says that the engine sent something other than was asked for.
	Mismatch
	// Ended says that the caller's context ended.
	Ended
)

var kinds = map[Kind]string{
	Reset: "connection lost", Unreached: "not reached", Silent: "silent",
	Mismatch: "wrong answer", Ended: "call ended",
}

// A Fault is a failure of the connection or of what came over it. Only an
// Unreached one has the verdict NotRun.
type Fault struct {
	Kind  Kind
	cause error
}

// Error returns the kind and the cause.
func (f *Fault) Error() string { return fmt.Sprintf("engine: %s: %v", kinds[f.Kind], f.cause) }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.cause }

// Verdict says whether the request may have run.
func (f *Fault) Verdict() verdict.Verdict {
	if f.Kind == Unreached {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// As makes a Fault readable as a *verdict.Error.
func (f *Fault) As(target any) bool {
	return as(target, verdict.Error{Verdict: f.Verdict(), Code: verdict.Interrupted, Message: "the engine failed: " + kinds[f.Kind]})
}

// A Reason is why an engine refused, as it says it.
type Reason string

// The reasons of engines.
const (
	Absent  Reason = "absent"  // the adapter is not resident
	Version Reason = "version" // the version is not the resident one
	Full    Reason = "full"    // no place, or no free slot
	Gone    Reason = "gone"    // the request to resume is no longer known
	Fenced  Reason = "fenced"  // the order's number is not above the highest
	Failed  Reason = "failed"  // the load failed
)

// reasons gives the code of a refused completion for each reason.
var reasons = map[Reason]verdict.Code{
	Absent: verdict.Unavailable, Version: verdict.Unavailable, Full: verdict.Busy, Gone: verdict.Interrupted,
	Fenced: verdict.Unavailable, Failed: verdict.Unavailable,
}

// A Refusal is what an engine answered in place of doing what was asked. The
// request did not run and the order had no effect.
type Refusal struct {
	Reason Reason
	// Number is the highest fencing number that the engine has seen, where it
	// refused with Fenced.
	Number uint64
}

// Error returns the reason.
func (r *Refusal) Error() string { return "engine: refused: " + string(r.Reason) }

// Verdict returns NotRun, but for Gone: what is gone ran.
func (r *Refusal) Verdict() verdict.Verdict {
	if r.Reason == Gone {
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
		Code   Reason `json:"code"`
		Number uint64 `json:"number"`
	}
	err := json.Unmarshal(text, &reply)
	if _, known := reasons[reply.Code]; err != nil || !known {
		return &Fault{Kind: Mismatch, cause: errors.Errorf("status %d without a known code", status)}
	}
	return &Refusal{Reason: reply.Code, Number: reply.Number}
}

// ReasonOf returns why the engine refused, empty where err is not a Refusal.
func ReasonOf(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// Is reports whether err is a Fault of kind.
func (k Kind) Is(err error) bool {
	var f *Fault
	return errors.As(err, &f) && f.Kind == k
}
