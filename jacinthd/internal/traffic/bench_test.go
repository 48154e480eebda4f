package traffic_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jacinthstage/jacinthd/internal/control"
)

// newFastEngine starts an engine that sends each token in a separate write, with a
// pause between tokens. It returns the engine's address.
func newFastEngine(b *testing.B, pause time.Duration) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			ID, Model string
			Max       int `json:"max_tokens"`
		}
		_ = json.NewDecoder(r.Body).Decode(&c)
		flush := http.NewResponseController(w).Flush
		for i := range c.Max {
			_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"index\":%d,\"text\":\"token \"}\n\n", c.ID, c.Model, i)
			_ = flush()
			if pause > 0 {
				time.Sleep(pause)
			}
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"done\":true,\"tokens\":%d}\n\ndata: [DONE]\n\n", c.ID, c.Model, c.Max)
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// A countingPacketConn counts the bytes of a link's datagrams.
type countingPacketConn struct {
	net.PacketConn
	bytes *atomic.Int64
}

func (c countingPacketConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, to)
}

func (c countingPacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.bytes.Add(int64(n))
	return n, from, err
}

// A countingConn counts the bytes on a caller's connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// A bench has three paths to one engine: direct, through the host that owns its
// runner, and through another host.
type bench struct {
	urls   map[string]string
	client *http.Transport
	caller atomic.Int64 // bytes on callers' connections
	link   atomic.Int64 // bytes of datagrams
}

var benchPaths = []string{"direct", "own", "forwarded"}

func newBench(b *testing.B, count bool, pause time.Duration) *bench {
	env := &bench{}
	env.client = &http.Transport{MaxIdleConnsPerHost: 512, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || !count {
			return conn, err
		}
		return countingConn{conn, &env.caller}, nil
	}}
	b.Cleanup(env.client.CloseIdleConnections)
	ids := identities(b, "entry-1", "entry-2")
	engine := newFastEngine(b, pause)
	owner := newHost(b, configuration(b), ids["entry-1"], withLongEngineTimeout)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(b, err)
	if count {
		socket = countingPacketConn{socket, &env.link}
	}
	entry := newHostOn(b, configuration(b), ids["entry-2"], socket, withLongEngineTimeout)
	owner.fake.owned["r1"] = engine
	owner.route(control.Candidate{Runner: "r1", Owner: "entry-1", Local: true})
	entry.route(control.Candidate{Runner: "r1", Owner: "entry-1", Peer: owner.peer})
	env.urls = map[string]string{"direct": "http://" + engine.String(), "own": owner.url, "forwarded": entry.url}
	return env
}

// call sends one request for the given number of tokens and reads the complete
// answer.
func (env *bench) call(path string, tokens int) error {
	body := fmt.Sprintf(`{"id":"direct","model":"fees@v1","prompt":"Draft the terms for two ducts.","max_tokens":%d,"stream":true}`, tokens)
	r, err := http.NewRequest(http.MethodPost, env.urls[path]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer secret")
	response, err := env.client.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Errorf("incomplete answer: %s", text)
	}
	return err
}

// BenchmarkAddedLatency measures one caller's requests for one token on the three
// paths in turn, and reports the latency that hosts add to the direct path, in
// microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	env := newBench(b, false, 0)
	durations := map[string][]time.Duration{}
	for b.Loop() {
		for _, path := range benchPaths {
			start := time.Now()
			require.NoError(b, env.call(path, 1))
			durations[path] = append(durations[path], time.Since(start))
		}
	}
	at := func(path string, percent int) float64 {
		slices.Sort(durations[path])
		return float64(durations[path][(len(durations[path])-1)*percent/100].Microseconds())
	}
	for _, percent := range []int{50, 99} {
		b.ReportMetric(at("direct", percent), fmt.Sprintf("p%d-direct-us", percent))
		for _, path := range benchPaths[1:] {
			b.ReportMetric(at(path, percent)-at("direct", percent), fmt.Sprintf("p%d-added-%s-us", percent, path))
		}
	}
}

// BenchmarkRequests measures the requests per second of 64 concurrent callers of one
// host, with answers of 16 tokens.
func BenchmarkRequests(b *testing.B) {
	for _, path := range benchPaths[1:] {
		b.Run(path, func(b *testing.B) {
			env := newBench(b, false, 0)
			b.SetParallelism((64 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := env.call(path, 16); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkRequestCost measures, per request, the CPU time of the whole process and
// the bytes on callers' connections and on the link. The cost of a host is the
// difference to the direct path.
func BenchmarkRequestCost(b *testing.B) {
	for _, path := range benchPaths {
		for _, tokens := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("%s/%d", path, tokens), func(b *testing.B) {
				env := newBench(b, true, 0)
				require.NoError(b, env.call(path, tokens))
				env.caller.Store(0)
				env.link.Store(0)
				before := cpuTime(b)
				b.ResetTimer()
				for range b.N {
					require.NoError(b, env.call(path, tokens))
				}
				b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(env.caller.Load())/float64(b.N), "caller-bytes/op")
				b.ReportMetric(float64(env.link.Load())/float64(b.N), "link-bytes/op")
			})
		}
	}
}

// BenchmarkPacedTokenCost measures the same per token, with tokens 20 ms apart on a
// number of concurrent streams, as engines send them.
func BenchmarkPacedTokenCost(b *testing.B) {
	const tokens, interval = 50, 20 * time.Millisecond
	for _, path := range benchPaths {
		for _, streams := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("%s/%d", path, streams), func(b *testing.B) {
				env := newBench(b, true, interval)
				require.NoError(b, env.call(path, 1))
				env.caller.Store(0)
				env.link.Store(0)
				before := cpuTime(b)
				for b.Loop() {
					var group errgroup.Group
					for range streams {
						group.Go(func() error { return env.call(path, tokens) })
					}
					require.NoError(b, group.Wait())
				}
				count := float64(b.N * streams * tokens)
				b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/count, "cpu-us/token")
				b.ReportMetric(float64(env.caller.Load())/count, "caller-bytes/token")
				b.ReportMetric(float64(env.link.Load())/count, "link-bytes/token")
			})
		}
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
