// Package serve runs the HTTP server of a stand-in and holds helpers that the
// handlers share.
package serve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// shutdownTimeout is how long a shutdown waits for calls in progress before it
// closes their connections.
const shutdownTimeout = 500 * time.Millisecond

// Logger returns a logger that writes readable lines to standard error.
func Logger() *zap.Logger {
	config := zap.NewDevelopmentConfig()
	config.Level.SetLevel(zap.InfoLevel)
	config.DisableCaller = true
	config.DisableStacktrace = true
	log, err := config.Build()
	if err != nil {
		return zap.NewNop()
	}
	return log
}

// Run serves handler at the address listen until ctx ends. It logs the bound
// address; name is the prefix of log messages and errors. It fails if the
// address can't be bound.
func Run(ctx context.Context, name string, listen netip.AddrPort, handler http.Handler, log *zap.Logger) error {
	socket, err := net.Listen("tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, name)
	}
	log.Info(name + ": listening " + socket.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err = <-done:
		return errors.Wrap(err, name)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	log.Info(name + ": stopped")
	return nil
}

// WriteJSON writes body as JSON with the given status.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// An ErrorCode is the body of an error answer.
type ErrorCode struct {
	Code string `json:"code"`
}
