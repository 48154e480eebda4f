package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"jacinthstage/standin/internal/fault"
	"jacinthstage/standin/internal/serve"
	"jacinthstage/standin/internal/text"
)

// A Token is one event of a completion's stream.
type Token struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// An End is the last event of a whole stream.
type End struct {
	ID     string `json:"id"`
	Model  string `json:"model"`
	Done   bool   `json:"done"`
	Tokens int    `json:"tokens"`
}

// Ordered is the answer to an order that was carried out or fenced.
type Ordered struct {
	Code        string `json:"code,omitempty"`
	Number      uint64 `json:"number"`
	Incarnation string `json:"incarnation,omitempty"`
}

// Handler returns the HTTP API.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.gate.Wrap)
		r.Post("/v1/completions", e.complete)
		r.Post("/v1/cancel", e.cancel)
		r.Post("/v1/orders", e.order)
		r.Get("/v1/report", e.report)
	})
	r.Put("/admin/fault", e.gate.Admin)
	r.Get("/admin/counts", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, http.StatusOK, e.Counts()) })
	return r
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c Completion
	if !read(w, r, &c) {
		return
	}
	found, err := e.submit(c)
	fault.Of(r.Context()).Mute(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, found, c.Offset)
}

// stream writes the tokens from offset on as they are made. The stream of a
// request that broke ends with its connection, without an end event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, found *request, offset int) {
	call := fault.Of(r.Context())
	flush := http.NewResponseController(w).Flush
	for {
		tokens, state, changed := e.progress(found)
		call.Mute(r.Context())
		for ; offset < tokens; offset++ {
			event(w, Token{found.ID, found.Model, offset, text.Token(found.Model, found.Prompt, offset)})
		}
		switch state {
		case done:
			event(w, End{found.ID, found.Model, true, found.Tokens})
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case broken:
			_ = flush()
			fault.Abort()
		case active:
		}
		if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func event(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fault.Abort()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if !read(w, r, &body) {
		return
	}
	cancelled := e.Cancel(body.ID)
	fault.Of(r.Context()).Mute(r.Context())
	serve.JSON(w, http.StatusOK, struct {
		Cancelled bool `json:"cancelled"`
	}{cancelled})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !read(w, r, &order) {
		return
	}
	highest, err := e.Order(r.Context(), order)
	fault.Of(r.Context()).Mute(r.Context())
	switch {
	case errors.Is(err, ErrFenced):
		serve.JSON(w, http.StatusConflict, Ordered{Code: "fenced", Number: highest})
	case errors.Is(err, ErrFull):
		serve.JSON(w, http.StatusConflict, serve.Code{Code: "full"})
	case errors.Is(err, ErrAbsent):
		serve.JSON(w, http.StatusConflict, serve.Code{Code: "absent"})
	case err != nil:
		refuse(w, err)
	default:
		serve.JSON(w, http.StatusOK, Ordered{Number: highest, Incarnation: e.Incarnation()})
	}
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	report := e.Report(time.Now())
	fault.Of(r.Context()).Mute(r.Context())
	serve.JSON(w, http.StatusOK, report)
}

func refuse(w http.ResponseWriter, err error) {
	status, code := http.StatusBadGateway, "failed"
	switch {
	case errors.Is(err, ErrAbsent):
		status, code = http.StatusNotFound, "absent"
	case errors.Is(err, ErrGone):
		status, code = http.StatusNotFound, "gone"
	case errors.Is(err, ErrVersion):
		status, code = http.StatusConflict, "version"
	case errors.Is(err, ErrFull):
		status, code = http.StatusServiceUnavailable, "full"
	case errors.Is(err, ErrExpired):
		status, code = http.StatusGatewayTimeout, "expired"
	case errors.Is(err, ErrInvalid):
		status, code = http.StatusBadRequest, "invalid"
	}
	serve.JSON(w, status, serve.Code{Code: code})
}

func read(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(body); err != nil {
		refuse(w, errors.Wrap(ErrInvalid, err.Error()))
		return false
	}
	return true
}
