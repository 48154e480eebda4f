package outbound

import (
	"net/http"
	"time"

	"jacinthstage/stage/call"
)

// A HeaderCodec decodes the headers of requests and answers, and encodes those that
// this host sends.
type HeaderCodec interface {
	// ParseCall decodes a caller's request. It returns an error if the request has no ID.
	ParseCall(http.Header) (call.Call, error)
	// RequestHeaders returns the headers of the request that is sent to a target.
	RequestHeaders(http.Header, call.ForwardParams) http.Header
	// AnswerHeaders returns the headers of the answer that is sent to the caller.
	AnswerHeaders(http.Header) http.Header
	// ParseAnswer decodes the status and headers of a target's answer.
	ParseAnswer(status int, h http.Header) call.Response
	// SetRefusal sets the headers of a refusal that this host generates itself.
	SetRefusal(h http.Header, id string, after time.Duration)
}

// AnswersTo returns the filter of the answers that can belong to a request: they have its ID
// or none.
func AnswersTo(headers HeaderCodec, id string) ResponseFilter {
	return func(h http.Header) bool {
		got := headers.ParseAnswer(0, h).ID
		return got == "" || got == id
	}
}
