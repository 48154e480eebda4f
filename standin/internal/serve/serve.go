// Package serve runs the HTTP server of a stand-in until its context ends, and
// holds what their handlers share.
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

// shutdownTimeout is how long a stop waits for calls in progress before it cuts them.
const shutdownTimeout = 500 * time.Millisecond

// Logger returns a console logger on standard error.
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

// Run serves handler at listen until ctx ends. It logs the address, prefixed
// by the part's name. It fails where the address can't be bound.
func Run(ctx context.Context, part string, listen netip.AddrPort, handler http.Handler, log *zap.Logger) error {
	socket, err := net.Listen("tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, part)
	}
	log.Info(part + ": listening " + socket.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err = <-done:
		return errors.Wrap(err, part)
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(limit) != nil {
		_ = server.Close()
	}
	log.Info(part + ": stopped")
	return nil
}

// WriteJSON writes body with status.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// A Code is the body of a refusal.
type ErrorCode struct {
	Code string `json:"code"`
}
