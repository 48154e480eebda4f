// Package callers connects the HTTP server for callers with the connection.Table that decides
// which connections stay open.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"jacinthstage/stage/connection"
)

// Connections are the connections of an HTTP server. Its methods are hooks of the server.
type Connections struct {
	Table connection.Table

	entries sync.Map // *connection.Entry by net.Conn
}

type entryKey struct{}

// Entry returns the connection on which a request arrived, nil if it isn't in a table.
func Entry(ctx context.Context) *connection.Entry {
	e, _ := ctx.Value(entryKey{}).(*connection.Entry)
	return e
}

// Accept is the hook ConnContext of a server.
func (c *Connections) Accept(ctx context.Context, conn net.Conn) context.Context {
	e := c.Table.Open(time.Now(), func() { _ = conn.Close() })
	c.entries.Store(conn, e)
	return context.WithValue(ctx, entryKey{}, e)
}

// Changed is the hook ConnState of a server.
func (c *Connections) Changed(conn net.Conn, state http.ConnState) {
	found, ok := c.entries.Load(conn)
	if !ok {
		return
	}
	e := found.(*connection.Entry)
	switch state {
	case http.StateActive:
		e.Set(time.Now(), connection.Reading)
	case http.StateIdle:
		e.Set(time.Now(), connection.Idle)
	case http.StateClosed, http.StateHijacked:
		c.entries.Delete(conn)
		e.Close()
	}
}
