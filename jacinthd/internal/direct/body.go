package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/body"
	"jacinthstage/stage/connection"
	"jacinthstage/stage/memory"
)

const (
	// defaultMaxBody is the maximum size of a request's body, in bytes, if the
	// configuration sets none.
	defaultMaxBody = 4 << 20
	// bodyReadTimeout limits the time from the arrival of a request until its body
	// is read.
	bodyReadTimeout = 5 * time.Second
	// memoryRetryAfter is the time after which the caller of a request for whose body there was
	// no memory may try again. Bodies without progress have lost their memory by then.
	memoryRetryAfter = time.Second
	// discardRestTimeout is how long the rest of a body is read and discarded that was refused for want of memory.
	discardRestTimeout = 500 * time.Millisecond
	// writeSize is the size of the parts in which an answer is written, in bytes. After each the
	// caller counts as one that makes progress.
	writeSize = 32 << 10
)

// limitReadTime limits the time in which the body must arrive, also behind a refusal that doesn't
// wait for it.
func (req *callerRequest) limitReadTime() {
	if err := http.NewResponseController(req.w).SetReadDeadline(req.arrived.Add(bodyReadTimeout)); err != nil {
		req.log.Warn("request: body read deadline not set", zap.Error(err))
	}
}

// readBody reads the request's body. If it can't be read, readBody sends the refusal and returns
// false.
func (req *callerRequest) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(req.w)
	if req.r.ContentLength > limit {
		req.w.Header().Set("Connection", "close")
		req.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if err := req.receiveBody(control, limit); err != nil {
		req.refuseBody(control, limit, err)
		return false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		req.log.Warn("request: body read deadline not cleared", zap.Error(err))
	}
	req.connection.Set(time.Now(), connection.Serving)
	return true
}

// receiveBody reads the body into a buffer that grows with what arrives. While it is incomplete it
// may lose its memory to others.
func (req *callerRequest) receiveBody(control *http.ResponseController, limit int64) error {
	if req.r.ContentLength == 0 {
		return nil
	}
	interrupt := func() { _ = control.SetReadDeadline(time.Now()) }
	defer context.AfterFunc(req.r.Context(), interrupt)()
	req.held = req.Memory.Open(req.arrived, memory.Body, interrupt)
	buffer := body.Buffer{Holding: req.held, Limit: limit + 1, OnProgress: func(now time.Time) { req.connection.Set(now, connection.Reading) }}
	if req.r.ContentLength > 0 {
		buffer.Limit = req.r.ContentLength
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(req.w, req.r.Body, limit))
	if !req.held.Settle() {
		return body.ErrNoMemory
	}
	req.body = buffer.Bytes()
	return err
}

func (req *callerRequest) refuseBody(control *http.ResponseController, limit int64, err error) {
	req.w.Header().Set("Connection", "close")
	req.release()
	if req.stopped() {
		req.refuse(http.StatusServiceUnavailable, ErrStopped.Error(), defaultRetryAfter)
		return
	}
	if errors.Is(err, body.ErrNoMemory) {
		req.w.Header().Set("Content-Length", strconv.Itoa(len(err.Error()+"\n"))) // the refusal ends before the rest is read
		req.refuse(http.StatusServiceUnavailable, err.Error(), memoryRetryAfter)
		req.discardRest(control, limit)
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		req.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		req.refuse(http.StatusRequestTimeout, "body too slow", 0)
		return
	}
	req.refuse(http.StatusBadRequest, "body can't be read", 0)
}

// discardRest reads on for a moment after a refusal. If the connection were closed before the
// caller has sent all, the caller would find it reset, without the refusal.
func (req *callerRequest) discardRest(control *http.ResponseController, limit int64) {
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardRestTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(req.r.Body, limit))
}

// release gives the memory of the request's body back. What is left of the answer is written
// without this package.
func (req *callerRequest) release() {
	req.connection.Set(time.Now(), connection.Writing)
	if req.held != nil {
		req.held.Close()
	}
	req.body = nil
}

// An answerWriter writes to the caller, and records on the connection whether the caller takes
// what is written.
type answerWriter struct {
	req  *callerRequest
	held *memory.Holding // what is written; may be nil
}

// Write implements io.Writer.
func (a answerWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		a.req.connection.Set(time.Now(), connection.Writing)
		n, err := a.req.w.Write(p[written:min(len(p), written+writeSize)])
		written += n
		if err != nil {
			return written, err
		}
		if a.held != nil {
			a.held.Progress(time.Now())
		}
	}
	a.req.connection.Set(time.Now(), connection.Serving)
	return written, nil
}
