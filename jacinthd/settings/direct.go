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

// Direct holds the settings of a host that sends requests directly to targets,
// as read and validated by ReadDirect.
type Direct struct {
	Name    string            // name of the host
	Zone    string            // availability zone of the host
	Regions map[string]string // region of each availability zone
	Source  netip.Addr        // address from which the host connects to targets; the zero value lets the system choose
	Caller  netip.AddrPort    // HTTP address for callers
	Ready   netip.AddrPort    // HTTP address of the readiness endpoint
	Admin   netip.AddrPort    // HTTP address of the metrics; the zero value where they are not served
	Peer    netip.AddrPort    // QUIC address for other hosts
	Store   netip.AddrPort    // address of the platform's store

	Fenced        bool          // whether runners refuse orders with an outdated fencing number
	OrderInterval time.Duration // minimum time between the orders of two successive owners to one runner; doubled unless Fenced
	RetryRatio    float64       // retries allowed per request to a service
	BaseRetries   float64       // retries allowed per window beyond RetryRatio, over all hosts
	QuotaWindow   time.Duration // time over which QuotaRatio and QuotaSlack hold
	QuotaRatio    float64       // fraction by which all hosts together may exceed the limit of a client account
	QuotaSlack    float64       // units by which they may exceed it beyond that
	VersionBound  time.Duration // after the publication of a version of an adapter, until which a request may begin on an older one
	GracePeriod   time.Duration // from the stop signal to the end of the process
	MemoryLimitMB float64       // memory limit of the process in MB; 0 means no limit
	Descriptors   int           // file descriptors that the process may open; 0 means the limit that the system sets
	HeldMB        float64       // MB of bodies and answers that the process may hold; 0 derives it from MemoryLimitMB
	Connections   int           // open connections of callers; 0 derives it from Descriptors and MemoryLimitMB
	Level         zapcore.Level // minimum level of log lines
	Ignored       []string      // keys marked as optional that this build doesn't know, as SECTION.KEY
}

// The limits of what the platform sets for a host. They only exclude values that can't be
// computed with.
const (
	maxRetryRatio  = 1e6  // retries per request
	maxRetries     = 1e9  // retries per window
	maxQuotaRatio  = 1e6  // units per unit
	maxQuotaSlack  = 1e15 // units per window
	maxMemory      = 1e9  // MB
	maxDescriptors = 1 << 30
	maxBound       = 365 * 24 * time.Hour
)

// ReadDirect reads and validates the settings in file. Its error is a single
// line that names the file, the section and the key. A host whose availability zone has no
// region is in a region of its own, named like the zone.
func ReadDirect(file string) (Direct, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Direct{}, errors.Errorf("%s: %v", file, withoutPath(err))
	}
	var d Direct
	if d.Ignored, err = parse(file, text, d.fields()); err != nil {
		return Direct{}, err
	}
	if d.Regions == nil {
		d.Regions = make(map[string]string)
	}
	if d.Regions[d.Zone] == "" {
		d.Regions[d.Zone] = d.Zone
	}
	return d, nil
}

// fields returns the keys of the file, with the function that sets each.
func (d *Direct) fields() []field {
	return []field{
		{section: "host", key: "name", set: platformName(&d.Name)},
		{section: "host", key: "zone", set: platformName(&d.Zone)},
		{section: "host", key: "zones", optional: true, set: zoneRegions(&d.Regions)},
		{section: "host", key: "memory", fallback: "0", set: decimal(&d.MemoryLimitMB, 0, maxMemory)},
		{section: "host", key: "descriptors", fallback: "0", set: integer(&d.Descriptors, 0, maxDescriptors)},
		{section: "host", key: "source", optional: true, set: ip(&d.Source)},
		{section: "listen", key: "caller", set: address(&d.Caller)},
		{section: "listen", key: "peer", set: address(&d.Peer)},
		{section: "listen", key: "ready", set: address(&d.Ready)},
		{section: "listen", key: "admin", optional: true, set: address(&d.Admin)},
		{section: "platform", key: "address", set: address(&d.Store)},
		{section: "orders", key: "fenced", fallback: "false", set: boolean(&d.Fenced)},
		{section: "orders", key: "turn", fallback: "3s", set: duration(&d.OrderInterval, 0, maxBound)},
		{section: "retries", key: "share", fallback: "0.1", set: decimal(&d.RetryRatio, 0, maxRetryRatio)},
		{section: "retries", key: "slack", fallback: "10", set: decimal(&d.BaseRetries, 0, maxRetries)},
		{section: "quotas", key: "window", fallback: "10s", set: duration(&d.QuotaWindow, 0, maxBound)},
		{section: "quotas", key: "share", fallback: "0.1", set: decimal(&d.QuotaRatio, 0, maxQuotaRatio)},
		{section: "quotas", key: "slack", fallback: "0", set: decimal(&d.QuotaSlack, 0, maxQuotaSlack)},
		{section: "versions", key: "bound", fallback: "5s", set: duration(&d.VersionBound, 0, maxBound)},
		{section: "stop", key: "grace", fallback: "8s", set: duration(&d.GracePeriod, 0, maxBound)},
		{section: "limits", key: "held", fallback: "0", set: decimal(&d.HeldMB, 0, maxMemory)},
		{section: "limits", key: "callers", fallback: "0", set: integer(&d.Connections, 0, maxDescriptors)},
		{section: "log", key: "level", fallback: "info", set: level(&d.Level)},
	}
}

// platformName accepts a name assigned by the platform. It must not contain a
// slash, which separates the parts of object keys, or a NUL byte, which separates
// the parts of hashed keys.
func platformName(dst *string) func(string) error {
	return func(t string) error {
		if strings.ContainsAny(t, "/\x00") {
			return errors.Errorf("%q holds a slash", t)
		}
		*dst = t
		return nil
	}
}

// ip accepts an IP address.
func ip(dst *netip.Addr) func(string) error {
	return func(t string) error {
		a, err := netip.ParseAddr(t)
		if err != nil {
			return errors.Errorf("%q is no IP address", t)
		}
		*dst = a
		return nil
	}
}

// boolean accepts the spellings of strconv.ParseBool.
func boolean(dst *bool) func(string) error {
	return func(t string) error {
		b, err := strconv.ParseBool(t)
		if err != nil {
			return errors.Errorf("%q is neither true nor false", t)
		}
		*dst = b
		return nil
	}
}

// zoneRegions accepts a list ZONE=REGION,ZONE=REGION.
func zoneRegions(dst *map[string]string) func(string) error {
	return func(t string) error {
		out := make(map[string]string)
		for part := range strings.SplitSeq(t, ",") {
			zone, region, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || zone == "" || region == "" {
				return errors.Errorf("%q is not ZONE=REGION", part)
			}
			out[zone] = region
		}
		*dst = out
		return nil
	}
}
