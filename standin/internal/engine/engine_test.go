package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/engine"
	"jacinthstage/standin/internal/text"
)

const stepTime = 10 * time.Millisecond

// newEngine returns an engine whose loads take 250 ms, with a@1 resident.
func newEngine(t *testing.T, fenced bool) *engine.Engine {
	e := &engine.Engine{Slots: 2, Batch: 2, StepTime: stepTime, Fenced: fenced}
	e.FetchWeights = func(context.Context, string) error {
		time.Sleep(250 * time.Millisecond)
		return nil
	}
	_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: "a@1", Number: 1})
	require.NoError(t, err)
	t.Cleanup(func() { time.Sleep(time.Second) }) // let the last step end inside the bubble
	return e
}

// post sends one HTTP request within the current synctest bubble. The result
// complete is false if the handler closed the connection.
func post(e *engine.Engine, path string, body any) (response *httptest.ResponseRecorder, complete bool) {
	data, _ := json.Marshal(body)
	response = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			complete = false
		}
	}()
	e.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
	return response, true
}

func completion(id string, tokens, offset int) engine.Completion {
	return engine.Completion{ID: id, Model: "a@1", Prompt: "p", Tokens: tokens, Offset: offset}
}

// streamText joins the token texts of a stream.
func streamText(stream string) string {
	var all strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		var event engine.TokenEvent
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &event) == nil {
			all.WriteString(event.Text)
		}
	}
	return all.String()
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		fenced bool
		order  engine.Order
		want   error
	}{
		{"old number, fenced", true, engine.Order{Kind: "unload", Adapter: "a@1", Number: 1}, engine.ErrFenced},
		{"old number, not fenced", false, engine.Order{Kind: "unload", Adapter: "a@1", Number: 1}, nil},
		{"new number, fenced", true, engine.Order{Kind: "unload", Adapter: "a@1", Number: 2}, nil},
		{"resident already", true, engine.Order{Kind: "load", Adapter: "a@1", Number: 2}, nil},
		{"unload of absent adapter", true, engine.Order{Kind: "unload", Adapter: "b@1", Number: 2}, engine.ErrAbsent},
		{"deadline passed", true, engine.Order{Kind: "unload", Adapter: "a@1", Number: 2, Deadline: time.Unix(1, 0)}, engine.ErrExpired},
		{"unknown kind", true, engine.Order{Kind: "melt", Number: 2}, engine.ErrInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := newEngine(t, c.fenced).Order(t.Context(), c.order)
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

func TestLoadWithoutFreeSlotAndFailedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		load := func(adapter string, number uint64) error {
			_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: adapter, Number: number})
			return err
		}
		e.FetchWeights = func(context.Context, string) error { return context.Canceled }
		require.ErrorIs(t, load("b@1", 2), engine.ErrFailed)
		e.FetchWeights = func(context.Context, string) error { return nil }
		require.NoError(t, load("b@1", 3))
		require.ErrorIs(t, load("c@1", 4), engine.ErrFull)
		require.Equal(t, 2, e.Counts().Loads)
	})
}

func TestStreamAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		first, complete := post(e, "/v1/completions", completion("r", 4, 0))
		require.True(t, complete)
		require.Equal(t, text.Answer("a@1", "p", 4), streamText(first.Body.String()))
		require.True(t, strings.HasSuffix(first.Body.String(), "data: [DONE]\n\n"))
		rest, _ := post(e, "/v1/completions", completion("r", 4, 2))
		require.Equal(t, text.Token("a@1", "p", 2)+text.Token("a@1", "p", 3), streamText(rest.Body.String()))
		require.Equal(t, map[string]int{"r": 1}, e.Counts().RunsByID)
		other := completion("r", 4, 0)
		other.Model = "b@1"
		refused, _ := post(e, "/v1/completions", other)
		require.Equal(t, 409, refused.Code)
		time.Sleep(31 * time.Second)
		gone, _ := post(e, "/v1/completions", completion("r", 4, 2))
		require.Equal(t, 404, gone.Code)
		require.JSONEq(t, `{"code":"gone"}`, gone.Body.String())
	})
}

func TestUnloadOfAdapterInUseAbortsRequestAndIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		aborted := make(chan bool)
		go func() {
			_, complete := post(e, "/v1/completions", completion("r", 100, 0))
			aborted <- !complete
		}()
		time.Sleep(5 * stepTime)
		_, err := e.Order(t.Context(), engine.Order{Kind: "unload", Adapter: "a@1", Number: 2})
		require.NoError(t, err)
		require.True(t, <-aborted)
		counts := e.Counts()
		require.Equal(t, 1, counts.EvictedInUse)
		require.Equal(t, 1, counts.Evictions)
		require.Empty(t, counts.Requests)
		refused, _ := post(e, "/v1/completions", completion("s", 1, 0))
		require.JSONEq(t, `{"code":"absent"}`, refused.Body.String())
	})
}

func TestQueueOrderIsPriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		ended := make(chan string, 4)
		for _, c := range []struct {
			id       string
			priority int
		}{{"a", 0}, {"b", 0}, {"low", 0}, {"high", 1}} {
			request := completion(c.id, 3, 0)
			request.Priority = c.priority
			go func() {
				post(e, "/v1/completions", request)
				ended <- c.id
			}()
			synctest.Wait()
		}
		require.Equal(t, []string{"a", "high", "b", "low"}, []string{<-ended, <-ended, <-ended, <-ended})
		require.Equal(t, 7, e.Counts().Steps)
		require.Equal(t, 12, e.Counts().BatchSlotsUsed)
	})
}

func TestDeadlineAndCancelAbortRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		late := completion("late", 100, 0)
		late.Deadline = time.Now().Add(5 * stepTime)
		start := time.Now()
		_, complete := post(e, "/v1/completions", late)
		require.False(t, complete)
		require.Less(t, time.Since(start), 8*stepTime)
		go func() {
			time.Sleep(3 * stepTime)
			cancelled, _ := post(e, "/v1/cancel", struct {
				ID string `json:"id"`
			}{"r"})
			require.JSONEq(t, `{"cancelled":true}`, cancelled.Body.String())
		}()
		_, complete = post(e, "/v1/completions", completion("r", 100, 0))
		require.False(t, complete)
		require.Empty(t, e.Counts().Requests)
		require.False(t, e.Cancel("r"))
	})
}

func TestReportsLagBehindState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		e.ReportLag = 500 * time.Millisecond
		_, err := e.Order(t.Context(), engine.Order{Kind: "fence", Number: 9})
		require.NoError(t, err)
		changed := time.Now()
		time.Sleep(499 * time.Millisecond)
		require.Equal(t, uint64(1), e.Report(time.Now()).HighestNumber)
		time.Sleep(time.Millisecond)
		report := e.Report(time.Now())
		require.Equal(t, uint64(9), report.HighestNumber)
		require.Equal(t, changed, report.CreatedAt)
	})
}

func TestCrashMarkerInPromptCrashesProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, true)
		crashed := false
		e.Crash = func() { crashed = true }
		request := completion("r", 1, 0)
		request.Prompt = "x " + text.CrashMarker
		post(e, "/v1/completions", request)
		require.True(t, crashed)
	})
}
