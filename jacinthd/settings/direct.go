package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"
)

// Direct are the settings of a host that sends requests straight to targets, as
// checked by ReadDirect.
type Direct struct {
	Name    string            // the host's
	Zone    string            // the host's
	Regions map[string]string // region of each availability zone
	Caller  netip.AddrPort    // HTTP towards callers
	Ready   netip.AddrPort    // HTTP for readiness
	Admin   netip.AddrPort    // HTTP for metrics; not valid where none is served
	Peer    netip.AddrPort    // QUIC towards other hosts
	Store   netip.AddrPort    // the platform's store

	Fenced        bool          // runners refuse orders with an old fencing number
	OrderInterval time.Duration // least time between the orders of two holders to one runner
	RetryRatio    float64       // retries for each request of a service
	BaseRetries   int           // retries in each window beyond Share, over all hosts
	GracePeriod   time.Duration // from the signal to stop to the end of the process
	MemoryLimitMB int           // MB that the process may use; 0 sets no limit
	Level         zapcore.Level // of log lines
}

const (
	mostRetries = 1 << 20 // retries in a window
	mostMemory  = 1 << 20 // MB
)

// ReadDirect reads and checks the settings in file. Its error is one line and
// names the file, the section and the key.
func ReadDirect(file string) (Direct, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Direct{}, errors.Errorf("%s: %v", file, reason(err))
	}
	var d Direct
	if err := parse(file, text, d.fields()); err != nil {
		return Direct{}, err
	}
	if d.Regions[d.Zone] == "" {
		return Direct{}, errors.Errorf("%s: host.zone: %q has no region", file, d.Zone)
	}
	return d, nil
}

func (d *Direct) fields() []field {
	return []field{
		{section: "host", key: "name", store: text(&d.Name)},
		{section: "host", key: "zone", store: text(&d.Zone)},
		{section: "host", key: "zones", store: pairs(&d.Regions)},
		{section: "host", key: "memory", fallback: "0", store: whole(&d.MemoryLimitMB, 0, mostMemory)},
		{section: "listen", key: "caller", store: address(&d.Caller)},
		{section: "listen", key: "peer", store: address(&d.Peer)},
		{section: "listen", key: "ready", store: address(&d.Ready)},
		{section: "listen", key: "admin", optional: true, store: address(&d.Admin)},
		{section: "platform", key: "address", store: address(&d.Store)},
		{section: "orders", key: "fenced", fallback: "false", store: boolean(&d.Fenced)},
		{section: "orders", key: "turn", fallback: "3s", store: duration(&d.OrderInterval, 0, mostLease)},
		{section: "retries", key: "share", fallback: "0.1", store: decimal(&d.RetryRatio, 0, 1)},
		{section: "retries", key: "slack", fallback: "10", store: whole(&d.BaseRetries, 0, mostRetries)},
		{section: "stop", key: "grace", fallback: "8s", store: duration(&d.GracePeriod, leastTime, mostTime)},
		{section: "log", key: "level", fallback: "info", store: level(&d.Level)},
	}
}

// text checks a name of the platform's choice.
func text(into *string) func(string) error {
	return func(t string) error {
		if strings.ContainsAny(t, "/\x00") {
			return errors.Errorf("%q holds a slash", t)
		}
		*into = t
		return nil
	}
}

func boolean(into *bool) func(string) error {
	return func(t string) error {
		b, err := strconv.ParseBool(t)
		if err != nil {
			return errors.Errorf("%q is neither true nor false", t)
		}
		*into = b
		return nil
	}
}

// pairs checks ZONE=REGION,ZONE=REGION.
func pairs(into *map[string]string) func(string) error {
	return func(t string) error {
		out := make(map[string]string)
		for part := range strings.SplitSeq(t, ",") {
			zone, region, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || zone == "" || region == "" {
				return errors.Errorf("%q is not ZONE=REGION", part)
			}
			out[zone] = region
		}
		*into = out
		return nil
	}
}
