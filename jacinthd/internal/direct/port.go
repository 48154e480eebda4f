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

// Headers translates the headers of requests and answers.
type Headers interface {
	// Read decodes a caller's request. It fails where the request has no id.
	Read(http.Header) (call.Call, error)
	// Forward returns the headers of a request to a target.
	Forward(http.Header, call.Send) http.Header
	// Return returns the headers of the answer to the caller.
	Return(http.Header) http.Header
	// Answer decodes the head of a target's answer.
	Answer(status int, h http.Header) call.Answer
	// Refuse sets the headers of the system's own refusal.
	Refuse(h http.Header, id string, after time.Duration)
}

// A Follower tells what changes on the platform until ctx ends. It calls sink
// from several goroutines.
type Follower interface {
	// Follow is told on what the pace of its calls depends.
	Follow(ctx context.Context, sink func(catalog.Event), pace func() mirror.ReaderInfo)
	// Refresh has the configuration read now.
	Refresh()
}
