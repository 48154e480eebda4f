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

// A TokenEvent is the stream event that carries one token.
type TokenEvent struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// A StreamEnd is the event that ends a complete stream.
type StreamEnd struct {
	ID     string `json:"id"`
	Model  string `json:"model"`
	Done   bool   `json:"done"`
	Tokens int    `json:"tokens"`
}

// An OrderResult is the response to an order that succeeded or was refused as fenced.
type OrderResult struct {
	Code        string `json:"code,omitempty"`
	Number      uint64 `json:"number"`
	Incarnation string `json:"incarnation,omitempty"`
}

// Handler returns the handler of the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.gate.Middleware)
		r.Post("/v1/completions", e.handleCompletion)
		r.Post("/v1/cancel", e.handleCancel)
		r.Post("/v1/orders", e.handleOrder)
		r.Get("/v1/report", e.handleReport)
	})
	r.Put("/admin/fault", e.gate.HandleAdmin)
	r.Get("/admin/counts", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.Counts()) })
	return r
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c Completion
	if !decodeBody(w, r, &c) {
		return
	}
	req, err := e.submit(c)
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, req, c.Offset)
}

// stream writes the tokens from offset on as they are generated. When the
// request is aborted, it closes the connection without an end event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *request, offset int) {
	call := fault.FromContext(r.Context())
	flush := http.NewResponseController(w).Flush
	for {
		tokens, state, changed := e.progress(req)
		call.BlockIfSilent(r.Context())
		for ; offset < tokens; offset++ {
			writeEvent(w, TokenEvent{req.ID, req.Model, offset, text.Token(req.Model, req.Prompt, offset)})
		}
		switch state {
		case done:
			writeEvent(w, StreamEnd{req.ID, req.Model, true, req.Tokens})
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case aborted:
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

func writeEvent(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fault.Abort()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	cancelled := e.Cancel(body.ID)
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	serve.WriteJSON(w, http.StatusOK, struct {
		Cancelled bool `json:"cancelled"`
	}{cancelled})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !decodeBody(w, r, &order) {
		return
	}
	highest, err := e.Order(r.Context(), order)
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	switch {
	case errors.Is(err, ErrFenced):
		serve.WriteJSON(w, http.StatusConflict, OrderResult{Code: "fenced", Number: highest})
	case errors.Is(err, ErrFull):
		serve.WriteJSON(w, http.StatusConflict, serve.ErrorCode{Code: "full"})
	case errors.Is(err, ErrAbsent):
		serve.WriteJSON(w, http.StatusConflict, serve.ErrorCode{Code: "absent"})
	case err != nil:
		writeError(w, err)
	default:
		serve.WriteJSON(w, http.StatusOK, OrderResult{Number: highest, Incarnation: e.Incarnation()})
	}
}

func (e *Engine) handleReport(w http.ResponseWriter, r *http.Request) {
	report := e.Report(time.Now())
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	serve.WriteJSON(w, http.StatusOK, report)
}

func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusBadGateway, "failed"
	switch {
	case errors.Is(err, ErrAbsent):
		status, code = http.StatusNotFound, "absent"
	case errors.Is(err, ErrGone):
		status, code = http.StatusNotFound, "gone"
	case errors.Is(err, ErrVersionMismatch):
		status, code = http.StatusConflict, "version"
	case errors.Is(err, ErrFull):
		status, code = http.StatusServiceUnavailable, "full"
	case errors.Is(err, ErrExpired):
		status, code = http.StatusGatewayTimeout, "expired"
	case errors.Is(err, ErrInvalid):
		status, code = http.StatusBadRequest, "invalid"
	}
	serve.WriteJSON(w, status, serve.ErrorCode{Code: code})
}

func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(body); err != nil {
		writeError(w, errors.Wrap(ErrInvalid, err.Error()))
		return false
	}
	return true
}
