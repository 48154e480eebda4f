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

const token = 10 * time.Millisecond

// bench returns an engine whose loads take a quarter second, with a@1 resident.
func bench(t *testing.T, fenced bool) *engine.Engine {
	e := &engine.Engine{Slots: 2, Batch: 2, Token: token, Fenced: fenced}
	e.Fetch = func(context.Context, string) error {
		time.Sleep(250 * time.Millisecond)
		return nil
	}
	_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: "a@1", Number: 1})
	require.NoError(t, err)
	t.Cleanup(func() { time.Sleep(time.Second) }) // the last step ends
	return e
}

// call runs one HTTP call in the present bubble; whole is false where the connection was cut.
func call(e *engine.Engine, path string, body any) (answer *httptest.ResponseRecorder, whole bool) {
	data, _ := json.Marshal(body)
	answer = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			whole = false
		}
	}()
	e.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
	return answer, true
}

func ask(id string, tokens, offset int) engine.Completion {
	return engine.Completion{ID: id, Model: "a@1", Prompt: "p", Tokens: tokens, Offset: offset}
}

// answer joins the texts of a stream.
func answer(stream string) string {
	var all strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		var event engine.Token
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
		{"absent", true, engine.Order{Kind: "unload", Adapter: "b@1", Number: 2}, engine.ErrAbsent},
		{"late", true, engine.Order{Kind: "unload", Adapter: "a@1", Number: 2, Deadline: time.Unix(1, 0)}, engine.ErrExpired},
		{"unknown", true, engine.Order{Kind: "melt", Number: 2}, engine.ErrInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := bench(t, c.fenced).Order(t.Context(), c.order)
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

func TestLoadsOverTheSlotsAndFailingLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		load := func(adapter string, number uint64) error {
			_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: adapter, Number: number})
			return err
		}
		e.Fetch = func(context.Context, string) error { return context.Canceled }
		require.ErrorIs(t, load("b@1", 2), engine.ErrFailed)
		e.Fetch = func(context.Context, string) error { return nil }
		require.NoError(t, load("b@1", 3))
		require.ErrorIs(t, load("c@1", 4), engine.ErrFull)
		require.Equal(t, 2, e.Counts().Loads)
	})
}

func TestStreamAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		first, whole := call(e, "/v1/completions", ask("r", 4, 0))
		require.True(t, whole)
		require.Equal(t, text.Answer("a@1", "p", 4), answer(first.Body.String()))
		require.True(t, strings.HasSuffix(first.Body.String(), "data: [DONE]\n\n"))
		rest, _ := call(e, "/v1/completions", ask("r", 4, 2))
		require.Equal(t, text.Token("a@1", "p", 2)+text.Token("a@1", "p", 3), answer(rest.Body.String()))
		require.Equal(t, map[string]int{"r": 1}, e.Counts().Ran)
		other := ask("r", 4, 0)
		other.Model = "b@1"
		refused, _ := call(e, "/v1/completions", other)
		require.Equal(t, 409, refused.Code)
		time.Sleep(31 * time.Second)
		gone, _ := call(e, "/v1/completions", ask("r", 4, 2))
		require.Equal(t, 404, gone.Code)
		require.JSONEq(t, `{"code":"gone"}`, gone.Body.String())
	})
}

func TestEvictionBeneathARequestIsCountedAndBreaksIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		broken := make(chan bool)
		go func() {
			_, whole := call(e, "/v1/completions", ask("r", 100, 0))
			broken <- !whole
		}()
		time.Sleep(5 * token)
		_, err := e.Order(t.Context(), engine.Order{Kind: "unload", Adapter: "a@1", Number: 2})
		require.NoError(t, err)
		require.True(t, <-broken)
		counts := e.Counts()
		require.Equal(t, 1, counts.Evicted)
		require.Equal(t, 1, counts.Evictions)
		require.Empty(t, counts.Requests)
		refused, _ := call(e, "/v1/completions", ask("s", 1, 0))
		require.JSONEq(t, `{"code":"absent"}`, refused.Body.String())
	})
}

func TestBatchFillsByPriorityThenOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		ended := make(chan string, 4)
		for _, c := range []struct {
			id       string
			priority int
		}{{"a", 0}, {"b", 0}, {"low", 0}, {"high", 1}} {
			request := ask(c.id, 3, 0)
			request.Priority = c.priority
			go func() {
				call(e, "/v1/completions", request)
				ended <- c.id
			}()
			synctest.Wait()
		}
		require.Equal(t, []string{"a", "high", "b", "low"}, []string{<-ended, <-ended, <-ended, <-ended})
		require.Equal(t, 7, e.Counts().Steps)
		require.Equal(t, 12, e.Counts().Filled)
	})
}

func TestDeadlineAndCancelEndARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		late := ask("late", 100, 0)
		late.Deadline = time.Now().Add(5 * token)
		start := time.Now()
		_, whole := call(e, "/v1/completions", late)
		require.False(t, whole)
		require.Less(t, time.Since(start), 8*token)
		go func() {
			time.Sleep(3 * token)
			cancelled, _ := call(e, "/v1/cancel", struct {
				ID string `json:"id"`
			}{"r"})
			require.JSONEq(t, `{"cancelled":true}`, cancelled.Body.String())
		}()
		_, whole = call(e, "/v1/completions", ask("r", 100, 0))
		require.False(t, whole)
		require.Empty(t, e.Counts().Requests)
		require.False(t, e.Cancel("r"))
	})
}

func TestReportsAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		e.Lag = 500 * time.Millisecond
		_, err := e.Order(t.Context(), engine.Order{Kind: "fence", Number: 9})
		require.NoError(t, err)
		changed := time.Now()
		time.Sleep(499 * time.Millisecond)
		require.Equal(t, uint64(1), e.Report(time.Now()).Number)
		time.Sleep(time.Millisecond)
		report := e.Report(time.Now())
		require.Equal(t, uint64(9), report.Number)
		require.Equal(t, changed, report.Made)
	})
}

func TestCrashMarkEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := bench(t, true)
		crashed := false
		e.Crash = func() { crashed = true }
		request := ask("r", 1, 0)
		request.Prompt = "x " + text.Crash
		call(e, "/v1/completions", request)
		require.True(t, crashed)
	})
}
