package outbound_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/outbound"
)

// TestSendBefore checks that nothing of a request is written after its time, that the request then
// fails at once, and that the connection of one that was written in time can be used again.
func TestSendBefore(t *testing.T) {
	address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, fullResponse(id, "a"))
		return true
	})
	pool := newPool()
	send := func(before time.Time) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		x, err := pool.Do(ctx, address, outbound.Request{Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}, SendBefore: before}, nil)
		if err != nil {
			require.NoError(t, ctx.Err())
			return err
		}
		defer x.Close()
		return x.Discard(1, time.Now().Add(time.Second))
	}
	require.Error(t, send(time.Now().Add(-time.Second)))
	soon := time.Now().Add(100 * time.Millisecond)
	require.NoError(t, send(soon))
	time.Sleep(time.Until(soon) + time.Millisecond)
	require.NoError(t, send(time.Time{}))
	require.EqualValues(t, 2, opened.Load())
}

// TestNewConnection checks that a request that wants a connection of its own gets one, which others
// may use after it.
func TestNewConnection(t *testing.T) {
	address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, fullResponse(id, "a"))
		return true
	})
	pool := newPool()
	for i, alone := range []bool{false, true, true, false} {
		r := get("a")
		r.ID, r.NewConnection = "", alone
		x, err := pool.Do(context.Background(), address, r, nil)
		require.NoError(t, err)
		require.Equal(t, i == 0 || alone, x.First)
		require.NoError(t, x.Discard(10, time.Now().Add(time.Second)))
		x.Close()
	}
	require.EqualValues(t, 3, opened.Load())
}
