package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthstage/jacinthd/internal/daemon"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/settings"
	"jacinthstage/platform"
	"jacinthstage/stage/mirror"
)

// settingsVariable is the environment variable that names the settings file
// when the -settings flag is not given.
const settingsVariable = "JACINTHSTAGE_SETTINGS"

// storeConnections is the maximum number of idle connections to the platform's store.
const storeConnections = 8

// storeIdleTimeout is how long an idle connection to the store stays open.
const storeIdleTimeout = 20 * time.Second

// maxStoreHeader is the maximum size of the header of a response of the store, in bytes.
const maxStoreHeader = 64 << 10

// serve is the command that serves requests on the platform, sending them
// directly to targets, until SIGTERM or SIGINT.
type serve struct{ file string }

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string {
	return "serve on the platform, straight to targets, until a planned stop"
}

// Usage implements subcommands.Command.
func (*serve) Usage() string {
	return "serve [-settings FILE]\n  Serves until SIGTERM; SIGHUP reads the level of log lines anew.\n  FILE is that of $" + settingsVariable + " where the flag is missing.\n"
}

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.file, "settings", os.Getenv(settingsVariable), "settings `file`")
}

// Execute implements subcommands.Command.
func (s *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	hangups := catchSignals()
	d, err := settings.ReadDirect(s.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	sink := daemon.NewSink(os.Stdout)
	defer sink.Close()
	// Without this variable, quic-go writes a warning about the size of its
	// receive buffers to standard error.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	level := zap.NewAtomicLevelAt(d.Level)
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log := zap.New(plainErrorCore{zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, level)})
	go reload(hangups, s.readLevel, level, log)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	transport := &http.Transport{
		DialContext: outbound.StoreDialer().DialContext, MaxIdleConnsPerHost: storeConnections,
		IdleConnTimeout: storeIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeader,
	}
	registry := prometheus.NewRegistry()
	copies := new(mirror.Set)
	client := platform.New(d.Store, countCalls(registry, transport), copies, log)
	p, err := daemon.New(d, daemon.Dependencies{
		Store: client, Follower: client, Copies: copies, Registry: registry, Headers: platform.Headers{}, RunnerCodec: platform.Runners{}, ReadyPath: platform.ReadyPath,
	}, log, sink)
	if err != nil {
		log.Error("host: failed to start", zap.Error(err))
		return subcommands.ExitFailure
	}
	if err := p.Run(ctx); err != nil {
		log.Error("host: stopped with an error", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readLevel returns the level of log lines that the settings file names now.
func (s *serve) readLevel() (zapcore.Level, error) {
	d, err := settings.ReadDirect(s.file)
	return d.Level, err
}

// countCalls wraps transport to count the answered calls to the platform's
// store by method and status.
func countCalls(registry prometheus.Registerer, transport http.RoundTripper) http.RoundTripper {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_store_calls_total", Help: "Answered calls to the platform's store by method and status.",
	}, []string{"code", "method"})
	registry.MustRegister(calls)
	return promhttp.InstrumentRoundTripperCounter(calls, transport)
}
