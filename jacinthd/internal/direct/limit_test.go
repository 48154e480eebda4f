package direct_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
)

const (
	// limitSettleTime is the time after which a limit that a target names holds, and
	// limitWindow the time over which its requests are counted.
	limitSettleTime = 4 * time.Second
	limitWindow     = 4 * time.Second
)

// allowedInWindow returns the requests that a target with a limit may get in any
// limitWindow: one and a half times the limit, and five more.
func allowedInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// An arrivals counts the requests that reach a target.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the largest number of arrivals in any limitWindow from a time on.
func (a *arrivals) most(from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		for first < i && (a.times[first].Before(from) || at.Sub(a.times[first]) > limitWindow) {
			first++
		}
		if !a.times[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestLimitOfTargetIsKept guards against a target that gets several times the requests
// a second that it takes, from hosts that it told (LIMIT). Nine hosts send to three
// targets, one of which names a limit.
func TestLimitOfTargetIsKept(t *testing.T) {
	t.Parallel()
	const limit = 2.0
	var limited arrivals
	var all []catalog.Target
	for i := range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			if i == 0 {
				limited.add()
				w.Header().Set("Limit", strconv.FormatFloat(limit, 'f', -1, 64))
			}
			succeed(w, "a")
		}))
		t.Cleanup(server.CloseClientConnections)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		all = append(all, catalog.Target{Name: "t" + strconv.Itoa(i), Service: "s", Zone: "z", Address: address, Slots: 8})
	}
	start := time.Now()
	end := start.Add(limitSettleTime + limitWindow + time.Second)
	var callers sync.WaitGroup
	for _, h := range startHosts(t, 9) {
		s := newTestSystemOn(t, h)
		s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: all})
		callers.Go(func() {
			for time.Now().Before(end) {
				response, _, err := s.send(t, http.MethodPost, "/once/", "")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("%v %v", response, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	require.LessOrEqual(t, limited.most(start.Add(limitSettleTime)), allowedInWindow(limit))
	require.Positive(t, limited.most(start.Add(limitSettleTime)), "it is still used")
}
