package outbound

import (
	"bufio"
	"bytes"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/answer"
)

// A poolConn is one connection of a Pool.
type poolConn struct {
	net.Conn
	pool      *Pool
	address   netip.AddrPort
	source    *limitedReader // reads from Conn
	reader    *bufio.Reader  // reads from source
	idleSince time.Time      // start of the current idle period
	expires   time.Time      // time after which an idle connection isn't reused
	used      bool           // a request was sent on it
	carried   []carriedID    // requests of the last carriedRetention, the oldest first
}

// A carriedID is a request that a connection has carried.
type carriedID struct {
	hash uint64 // of the request's ID
	at   time.Time
}

// Close closes the connection.
func (c *poolConn) Close() error {
	c.pool.open.remove(c)
	return c.Conn.Close()
}

// readHead reads the status line and the header of a response. Package net/http parses them, and
// package answer checks the bytes that it has parsed.
func (c *poolConn) readHead(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.source.remaining, c.source.inHead, c.source.lines, c.source.head = maxHeadBytes, true, 0, bytes.Clone(buffered)
	response, err := http.ReadResponse(c.reader, request)
	head := c.source.head[:len(c.source.head)-c.reader.Buffered()]
	c.source.remaining, c.source.inHead, c.source.head = math.MaxInt64, false, nil
	switch {
	case err != nil:
		return nil, shorten(err)
	case headerLines(response.Header) > maxHeadLines:
		return nil, errTooManyLines
	}
	if err := answer.CheckHead(head); err != nil {
		return nil, err
	}
	return response, nil
}

// errTooManyLines means that a header has too many lines.
var errTooManyLines = errors.Errorf("header of more than %d lines", maxHeadLines)

func headerLines(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// A limitedReader reads from a connection and fails after a number of bytes, unlike
// io.LimitReader, which ends as if the connection were closed.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	address   netip.AddrPort
	watcher   Watcher // may be nil
	inHead    bool    // a header is being read
	head      []byte  // what was read while inHead, and was buffered before
	lines     int     // of the header
	heard     bool    // bytes have arrived
	inBody    bool    // fails once the connection is lost, before the system does
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.Errorf("header larger than %d bytes", maxHeadBytes)
	}
	if r.inHead && r.lines > maxHeadLines {
		return 0, errTooManyLines
	}
	n, err := r.readConn(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.inHead {
		r.head = append(r.head, p[:n]...)
		// More is read only if the header hasn't ended, so that only the last read holds other lines.
		r.lines += bytes.Count(p[:n], []byte("\n"))
	}
	if n > 0 && r.watcher != nil {
		if !r.heard {
			r.watcher.Connected(r.address)
		}
		r.watcher.Heard()
	}
	r.heard = r.heard || n > 0
	return n, err
}

func (r *limitedReader) readConn(p []byte) (int, error) {
	if !r.inBody {
		return r.conn.Read(p)
	}
	for {
		if err := r.conn.SetReadDeadline(time.Now().Add(bodySilence)); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if isLost(r.conn, bodySilence-probeMargin) {
			return 0, errors.Errorf("nothing arrived for %v", bodySilence)
		}
	}
}

// noteCarried records that a request is sent on the connection. One without an ID, an order or
// a request for a report, is never sent again.
func (c *poolConn) noteCarried(now time.Time, id string) {
	c.used = true
	if id == "" {
		return
	}
	old := slices.IndexFunc(c.carried, func(k carriedID) bool { return now.Sub(k.at) <= carriedRetention })
	if old < 0 {
		old = len(c.carried)
	}
	c.carried = append(c.carried[old:], carriedID{xxhash.Sum64String(id), now})
}

// hasCarried reports whether the connection has carried a request lately.
func (c *poolConn) hasCarried(id string) bool {
	if id == "" {
		return false
	}
	hash := xxhash.Sum64String(id)
	return slices.ContainsFunc(c.carried, func(k carriedID) bool { return k.hash == hash })
}
