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

	"jacinthstage/jacinthd/internal/direct"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/settings"
	"jacinthstage/platform"
	"jacinthstage/stage/mirror"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "JACINTHSTAGE_SETTINGS"

// storeConnections is the number of idle connections kept to the platform's store.
const storeConnections = 8

// storeIdle is how long a connection to the store is kept idle.
const storeIdle = 20 * time.Second

// serve is the command that serves on the platform until SIGTERM or SIGINT.
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
	d, err := settings.ReadDirect(s.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	sink := direct.NewSink(os.Stdout)
	defer sink.Close()
	// quic-go warns on standard error of the size of receive buffers otherwise.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	level := zap.NewAtomicLevelAt(d.Level)
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log := zap.New(brief{zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, level)})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	go s.reload(ctx, level, log)
	transport := &http.Transport{
		DialContext: outbound.Dialer().DialContext, MaxIdleConnsPerHost: storeConnections,
		IdleConnTimeout: storeIdle, DisableCompression: true,
	}
	registry := prometheus.NewRegistry()
	copies := new(mirror.Set)
	client := platform.New(d.Store, counted(registry, transport), copies, log)
	p, err := direct.New(d, direct.Dependencies{
		Store: client, Follower: client, Copies: copies, Registry: registry, Headers: platform.Headers{}, RunnerCodec: platform.Runners{}, ReadyPath: platform.ReadyPath,
	}, log, sink)
	if err != nil {
		log.Error("host: not started", zap.Error(err))
		return subcommands.ExitFailure
	}
	if err := p.Run(ctx); err != nil {
		log.Error("host: ended", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// counted counts the calls on the platform's store by method and status.
func counted(registry prometheus.Registerer, transport http.RoundTripper) http.RoundTripper {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_store_calls_total", Help: "Answered calls on the platform's store by method and status.",
	}, []string{"code", "method"})
	registry.MustRegister(calls)
	return promhttp.InstrumentRoundTripperCounter(calls, transport)
}

// reload reads the settings again at each SIGHUP. Only the level of log lines
// changes in a running process.
func (s *serve) reload(ctx context.Context, level zap.AtomicLevel, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		d, err := settings.ReadDirect(s.file)
		if err != nil {
			log.Error("host: settings not read again", zap.Error(err))
			continue
		}
		level.SetLevel(d.Level)
		log.Info("host: settings read again", zap.Stringer("level", d.Level))
	}
}
