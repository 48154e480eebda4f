package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/standin/internal/plan"
	"jacinthstage/standin/internal/text"
)

// An outcome is how one try ended: answered, refused, failed, wrong, doubled,
// cut or unreached.
type outcome interface{ outcome() }

// answered is a whole answer that is right in every token.
type answered struct {
	stall time.Duration
	body  string // of an issuance
}

// refused is a final answer that says that the request did not run.
type refused struct {
	retryAfter time.Duration // when coming back may help; negative where it does not
}

// failed is a final answer that says that the request ran or may have run.
type failed struct{ busy bool } // busy: the same key is in progress

// mismatched is an answer by another model or for another prompt.
type mismatched struct{}

// duplicated is an answer that came twice.
type duplicated struct{}

// interrupted is an answer whose connection broke before it was whole.
type interrupted struct{}

// notSent is a request that was not sent, as its host refused the connection.
type notSent struct{}

func (answered) outcome()    {}
func (refused) outcome()     {}
func (failed) outcome()      {}
func (mismatched) outcome()  {}
func (duplicated) outcome()  {}
func (interrupted) outcome() {}
func (notSent) outcome()     {}

// runCompletion carries a completion to its end.
func (t *Generator) runCompletion(ctx context.Context, c plan.Completion) outcome {
	return t.retry(ctx, func(host netip.AddrPort) outcome {
		marked, mark := c, t.checker.newTag()
		marked.Prompt = text.AddTag(mark, c.Prompt)
		last := t.attemptCompletion(ctx, host, marked)
		t.checker.addCompletion(mark, last)
		return last
	})
}

// attemptCompletion sends a completion once.
func (t *Generator) attemptCompletion(ctx context.Context, host netip.AddrPort, c plan.Completion) outcome {
	body, err := json.Marshal(struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
		Tokens int    `json:"max_tokens"`
		Stream bool   `json:"stream"`
	}{c.Model, c.Prompt, c.Tokens, c.Stream})
	if err != nil {
		return failed{}
	}
	start := time.Now()
	answer, last := t.post(ctx, host, "/v1/completions", "", string(body))
	if last != nil {
		return last
	}
	defer func() { _ = answer.Body.Close() }()
	if c.Stream {
		return t.checkStream(answer.Body, c, start)
	}
	return checkBody(answer.Body, c)
}

// retry sends a request again for as long as that may help.
func (t *Generator) retry(ctx context.Context, try func(netip.AddrPort) outcome) outcome {
	var host netip.AddrPort
	var last outcome = interrupted{}
	for range t.MaxAttempts {
		host = t.pickHost(host)
		last = try(host)
		wait := resendDelay
		switch o := last.(type) {
		case refused:
			if o.retryAfter < 0 {
				return o
			}
			wait = o.retryAfter
		case interrupted:
			t.stats.countResent()
		case notSent:
			t.markUnavailable(host)
		case failed:
			if !o.busy {
				return o
			}
			wait = time.Second
		default:
			return last
		}
		if !sleep(ctx, wait) {
			return last
		}
	}
	return last
}

// post sends one try. Where the outcome is known from the answer's head, it
// returns that; else the answer, which has status 200 or 201.
func (t *Generator) post(ctx context.Context, host netip.AddrPort, path, key, body string) (*http.Response, outcome) {
	// The body is a plain reader, so that the client can't send it again by itself.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.String()+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, failed{}
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer "+t.Token)
	r.Header.Set("Content-Type", "application/json")
	if limit, ok := ctx.Deadline(); ok {
		r.Header.Set("X-Deadline", limit.Add(-deadlineMargin).Format(time.RFC3339Nano))
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	answer, err := t.client.Do(r)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, notSent{}
	case err != nil:
		return nil, interrupted{}
	case answer.StatusCode < http.StatusMultipleChoices:
		return answer, nil
	default:
		defer func() { _ = answer.Body.Close() }()
		return nil, t.classifyError(answer)
	}
}

// A fault is an error answer of the caller API.
type errorAnswer struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (t *Generator) classifyError(answer *http.Response) outcome {
	var said errorAnswer
	if json.NewDecoder(answer.Body).Decode(&said) != nil {
		return interrupted{}
	}
	t.stats.countCode(said.Error.Code)
	switch {
	case said.Error.Code == "inprogress" || said.Error.Code == "conflict":
		return failed{busy: true}
	case said.Error.Verdict != "notrun":
		return failed{}
	case answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusTooManyRequests:
		return refused{retryAfter: -1}
	}
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil {
		seconds = 1
	}
	return refused{retryAfter: time.Duration(seconds) * time.Second}
}
