// Package direct is the process on a host that sends callers' requests straight
// to targets.
//
// Traffic goroutines take a request each: they match its route, ask the dispatch
// board for a target, send it, and hand the answer on as it comes. One control
// goroutine keeps this host's membership, by which each runner has one owner that
// may order adapters onto it. What the platform tells reaches the board through
// one follower.
//
// Whether a request may be sent again follows from its verdict: one that surely
// did not run may go to another target, one that may have run only where its
// route allows repeats, and never past its deadline or the budget of retries.
// What was not run and can't be is refused at once.
package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/mirror"
)

// HeaderCodec translates the headers of requests and answers.
type HeaderCodec interface {
	// ParseCall decodes a caller's request. It fails where the request has no id.
	ParseCall(http.Header) (call.Call, error)
	// RequestHeaders returns the headers of a request to a target.
	RequestHeaders(http.Header, call.ForwardParams) http.Header
	// AnswerHeaders returns the headers of the answer to the caller.
	AnswerHeaders(http.Header) http.Header
	// ParseAnswer decodes the head of a target's answer.
	ParseAnswer(status int, h http.Header) call.Response
	// SetRefusal sets the headers of the system's own refusal.
	SetRefusal(h http.Header, id string, after time.Duration)
}

// A Follower tells what changes on the platform until ctx ends. It calls sink
// from several goroutines.
type Follower interface {
	// Follow is told on what the pace of its calls depends.
	Follow(ctx context.Context, sink func(catalog.Event), pace func() mirror.ReaderInfo)
	// Refresh has the configuration read now.
	Refresh()
}
