package outbound

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/answer"
)

// An Exchange is a request whose response header has been read. The caller must
// call Close.
type Exchange struct {
	Response *http.Response
	// First reports whether the request is the first one on its connection, so that
	// the response can't belong to another request even if it has no ID.
	First bool

	ctx       context.Context // of the request
	pool      *Pool
	address   netip.AddrPort
	conn      *poolConn
	written   chan struct{} // closed when the request has been written, or writing it has failed
	writeErr  error         // of writing the request; read it only after written is closed
	stopWatch func() bool   // stops closing the connection at the end of the context
	complete  bool          // the body was read to its end
	end       error         // result of all further reads, if not nil
}

// readResponse reads responses until one belongs to the request.
func (x *Exchange) readResponse(request *http.Request, filter ResponseFilter) error {
	for range maxStrayResponses + 1 {
		response, err := x.conn.readHead(request)
		if err != nil {
			return errors.Wrap(err, "answer")
		}
		if answer.IsInterim(response.StatusCode) {
			continue
		}
		if filter == nil || filter(response.Header) {
			x.Response = response
			x.conn.source.inBody = true
			return nil
		}
		if err := discardStray(response.Body); err != nil {
			return errors.Wrap(err, "answer to another request")
		}
	}
	return errors.New("answers to other requests")
}

// discardStray reads the body of a response to another request to its end.
func discardStray(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBody))
	if err == nil && n == maxStrayBody {
		return errors.New("body too large")
	}
	return err
}

// Discard reads the rest of the response body, so that the connection can carry other
// requests. It gives up after limit bytes or at the time until; Close then closes the
// connection. A body that ends with its connection isn't read.
func (x *Exchange) Discard(limit int64, until time.Time) error {
	if x.endsWithConnection() {
		return nil
	}
	x.conn.source.inBody = false
	if err := x.conn.SetReadDeadline(until); err != nil {
		return errors.WithStack(err)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x, limit)); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(x.conn.SetReadDeadline(time.Time{}))
}

// Read reads the response body. It returns io.EOF only after a complete body: one that
// ends with its connection is complete if the target has got the whole request and its
// process has outlived the connection. It fails with ErrUnread or ErrCutOff otherwise.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.end != nil {
		return 0, x.end
	}
	n, err := x.Response.Body.Read(p)
	if err == io.EOF {
		err = x.ended()
	}
	err = shorten(err)
	x.end = err
	return n, err
}

// ended returns the error with which the end of the body is reported.
func (x *Exchange) ended() error {
	if x.endsWithConnection() {
		if !x.requestWritten(outliveTimeout) || !hasDelivered(x.conn.Conn) {
			return ErrUnread
		}
		if !x.pool.outlives(x.ctx, x.address) {
			return ErrCutOff
		}
	}
	x.complete = true
	return io.EOF
}

// endsWithConnection reports whether the response body has neither a length nor chunks, so
// that only the end of the connection ends it.
func (x *Exchange) endsWithConnection() bool {
	return x.Response.Body != http.NoBody && x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0
}

// Close ends the exchange. It returns the connection to the pool if it can carry
// another request, and closes it otherwise.
func (x *Exchange) Close() {
	if !x.complete || x.Response.Close || x.conn.reader.Buffered() > 0 {
		x.discard()
		return
	}
	if !x.requestWritten(writeGrace) || !x.stopWatch() {
		x.discard()
		return
	}
	x.conn.source.inBody = false
	if x.conn.SetReadDeadline(time.Time{}) != nil {
		x.discard()
		return
	}
	x.pool.put(x.address, x.conn, idleTimeout(x.Response.Header))
}

// write writes the request. If it may not be written any more, write closes the connection, since no
// response will come.
func (x *Exchange) write(r Request, request *http.Request) {
	x.writeErr = r.write(x.conn, request)
	if errors.Is(x.writeErr, os.ErrDeadlineExceeded) {
		_ = x.conn.Close()
	}
	close(x.written)
}

// requestWritten reports whether the request was written completely. It waits for a time, because
// the response may arrive shortly before the writing goroutine has returned.
func (x *Exchange) requestWritten(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.written:
		return x.writeErr == nil
	case <-x.ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// discard closes the connection.
func (x *Exchange) discard() {
	x.stopWatch()
	_ = x.conn.Close()
}
