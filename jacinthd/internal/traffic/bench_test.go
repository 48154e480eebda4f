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

// quick serves completions, each token in a write of its own, with a pause
// between tokens.
func quick(b *testing.B, pause time.Duration) netip.AddrPort {
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

// counted counts the bytes of a link's datagrams.
type counted struct {
	net.PacketConn
	bytes *atomic.Int64
}

func (c counted) WriteTo(p []byte, to net.Addr) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, to)
}

func (c counted) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.bytes.Add(int64(n))
	return n, from, err
}

// metered counts the bytes of a caller's connections.
type metered struct {
	net.Conn
	bytes *atomic.Int64
}

func (m metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.bytes.Add(int64(n))
	return n, err
}

func (m metered) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.bytes.Add(int64(n))
	return n, err
}

// A bench has the three ways to one engine: straight to it, through the host
// that owns it, and through another host.
type bench struct {
	urls   map[string]string
	client *http.Transport
	caller atomic.Int64 // bytes on callers' connections
	link   atomic.Int64 // bytes of datagrams
}

var ways = []string{"direct", "own", "forwarded"}

func newBench(b *testing.B, count bool, pause time.Duration) *bench {
	all := &bench{}
	all.client = &http.Transport{MaxIdleConnsPerHost: 512, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || !count {
			return conn, err
		}
		return metered{conn, &all.caller}, nil
	}}
	b.Cleanup(all.client.CloseIdleConnections)
	ids := identities(b, "entry-1", "entry-2")
	engine := quick(b, pause)
	owner := newHost(b, configuration(b), ids["entry-1"], patient)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(b, err)
	if count {
		socket = counted{socket, &all.link}
	}
	entry := newHostOn(b, configuration(b), ids["entry-2"], socket, patient)
	owner.fake.own["r1"] = engine
	owner.route(control.Candidate{Runner: "r1", Owner: "entry-1", Local: true})
	entry.route(control.Candidate{Runner: "r1", Owner: "entry-1", Peer: owner.peer})
	all.urls = map[string]string{"direct": "http://" + engine.String(), "own": owner.url, "forwarded": entry.url}
	return all
}

// call makes one request with an answer of so many tokens and reads all of it.
func (all *bench) call(way string, tokens int) error {
	body := fmt.Sprintf(`{"id":"direct","model":"fees@v1","prompt":"Draft the terms for two ducts.","max_tokens":%d,"stream":true}`, tokens)
	r, err := http.NewRequest(http.MethodPost, all.urls[way]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer secret")
	response, err := all.client.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Errorf("no whole answer: %s", text)
	}
	return err
}

// BenchmarkAdded measures one caller's requests of one token, the three ways in
// turn, and what a host adds to the direct way, in microseconds.
func BenchmarkAdded(b *testing.B) {
	all := newBench(b, false, 0)
	took := map[string][]time.Duration{}
	for b.Loop() {
		for _, way := range ways {
			start := time.Now()
			require.NoError(b, all.call(way, 1))
			took[way] = append(took[way], time.Since(start))
		}
	}
	at := func(way string, percent int) float64 {
		slices.Sort(took[way])
		return float64(took[way][(len(took[way])-1)*percent/100].Microseconds())
	}
	for _, percent := range []int{50, 99} {
		b.ReportMetric(at("direct", percent), fmt.Sprintf("p%d-direct-us", percent))
		for _, way := range ways[1:] {
			b.ReportMetric(at(way, percent)-at("direct", percent), fmt.Sprintf("p%d-added-%s-us", percent, way))
		}
	}
}

// BenchmarkRequests measures the requests a second that 64 callers get through
// one host, answers of 16 tokens.
func BenchmarkRequests(b *testing.B) {
	for _, way := range ways[1:] {
		b.Run(way, func(b *testing.B) {
			all := newBench(b, false, 0)
			b.SetParallelism((64 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := all.call(way, 16); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkCost measures the processor time of the whole process and the bytes
// on callers' connections and on the link, for each request. What a host costs
// is the difference to the direct way.
func BenchmarkCost(b *testing.B) {
	for _, way := range ways {
		for _, tokens := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("%s/%d", way, tokens), func(b *testing.B) {
				all := newBench(b, true, 0)
				require.NoError(b, all.call(way, tokens))
				all.caller.Store(0)
				all.link.Store(0)
				before := processor(b)
				b.ResetTimer()
				for range b.N {
					require.NoError(b, all.call(way, tokens))
				}
				b.ReportMetric(float64((processor(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(all.caller.Load())/float64(b.N), "caller-bytes/op")
				b.ReportMetric(float64(all.link.Load())/float64(b.N), "link-bytes/op")
			})
		}
	}
}

// BenchmarkPaced measures the same for each token, where tokens come 20 ms
// apart on so many streams at once, as from engines.
func BenchmarkPaced(b *testing.B) {
	const tokens, interval = 50, 20 * time.Millisecond
	for _, way := range ways {
		for _, streams := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("%s/%d", way, streams), func(b *testing.B) {
				all := newBench(b, true, interval)
				require.NoError(b, all.call(way, 1))
				all.caller.Store(0)
				all.link.Store(0)
				before := processor(b)
				for b.Loop() {
					var group errgroup.Group
					for range streams {
						group.Go(func() error { return all.call(way, tokens) })
					}
					require.NoError(b, group.Wait())
				}
				count := float64(b.N * streams * tokens)
				b.ReportMetric(float64((processor(b)-before).Microseconds())/count, "cpu-us/token")
				b.ReportMetric(float64(all.caller.Load())/count, "caller-bytes/token")
				b.ReportMetric(float64(all.link.Load())/count, "link-bytes/token")
			})
		}
	}
}

// processor returns the processor time that the process has used.
func processor(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
