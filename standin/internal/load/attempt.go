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

// An outcome is the result of one attempt: answered, refused, failed,
// mismatched, duplicated, interrupted or notSent.
type outcome interface{ outcome() }

// answered is a complete answer in which every token is correct.
type answered struct {
	stall time.Duration // load stall of a completion; negative if not reported
	body  string        // answer to an issuance
}

// refused is a final answer with the verdict that the request did not run.
type refused struct {
	retryAfter time.Duration // delay before the next attempt; negative if a retry can't help
}

// failed is a final answer with the verdict that the request ran or may have run.
type failed struct{ busy bool } // busy: a request with the same key is in progress

// mismatched is an answer from another model, for another prompt or of another length.
type mismatched struct{}

// duplicated is an answer that was sent twice.
type duplicated struct{}

// interrupted is an answer whose connection broke before it was complete.
type interrupted struct{}

// notSent is a request that was not sent because its host refused the connection.
type notSent struct{}

func (answered) outcome()    {}
func (refused) outcome()     {}
func (failed) outcome()      {}
func (mismatched) outcome()  {}
func (duplicated) outcome()  {}
func (interrupted) outcome() {}
func (notSent) outcome()     {}

// runCompletion sends a completion until it has a final outcome. Each attempt
// carries its own tag.
func (g *Generator) runCompletion(ctx context.Context, c plan.Completion) outcome {
	return g.retry(ctx, func(host netip.AddrPort) outcome {
		tagged, tag := c, g.checker.newTag()
		tagged.Prompt = text.AddTag(tag, c.Prompt)
		result := g.attemptCompletion(ctx, host, tagged)
		g.checker.addCompletion(tag, result)
		return result
	})
}

// attemptCompletion sends a completion once and checks the answer.
func (g *Generator) attemptCompletion(ctx context.Context, host netip.AddrPort, c plan.Completion) outcome {
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
	answer, result := g.post(ctx, host, "/v1/completions", "", string(body))
	if result != nil {
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	if c.Stream {
		return g.checkStream(answer.Body, c, start)
	}
	return checkBody(answer.Body, c)
}

// retry makes attempts until one has a final outcome, MaxAttempts is reached or
// ctx ends. Each attempt goes to another host than the one before, if there is
// one.
func (g *Generator) retry(ctx context.Context, attempt func(netip.AddrPort) outcome) outcome {
	var host netip.AddrPort
	var last outcome = interrupted{}
	for range g.MaxAttempts {
		host = g.pickHost(host)
		last = attempt(host)
		wait := resendDelay
		switch o := last.(type) {
		case refused:
			if o.retryAfter < 0 {
				return o
			}
			wait = o.retryAfter
		case interrupted:
			g.stats.countResent()
		case notSent:
			g.markUnavailable(host)
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

// post makes one attempt. It returns either a successful answer, whose body is
// still to be read and checked, or the outcome of the attempt.
func (g *Generator) post(ctx context.Context, host netip.AddrPort, path, key, body string) (*http.Response, outcome) {
	// The body is a plain reader without GetBody, so that the HTTP client can't resend it on its own.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.String()+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, failed{}
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer "+g.Token)
	r.Header.Set("Content-Type", "application/json")
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set("X-Deadline", deadline.Add(-deadlineMargin).Format(time.RFC3339Nano))
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	answer, err := g.client.Do(r)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, notSent{}
	case err != nil:
		return nil, interrupted{}
	case answer.StatusCode < http.StatusMultipleChoices:
		return answer, nil
	default:
		defer func() { _ = answer.Body.Close() }()
		return nil, g.classifyError(answer)
	}
}

// An errorAnswer is the body of an error answer of the caller API.
type errorAnswer struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// classifyError returns the outcome for an error answer.
func (g *Generator) classifyError(answer *http.Response) outcome {
	var body errorAnswer
	if json.NewDecoder(answer.Body).Decode(&body) != nil {
		return interrupted{}
	}
	g.stats.countCode(body.Error.Code)
	switch {
	case body.Error.Code == "inprogress" || body.Error.Code == "conflict":
		return failed{busy: true}
	case body.Error.Verdict != "notrun":
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
