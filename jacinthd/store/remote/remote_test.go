package remote_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/jacinthd/store/remote"
	"jacinthstage/stage/store"
)

// serve returns a memory store, and the same one over HTTP.
func serve(t *testing.T) (*memory.Store, *remote.Store) {
	var m memory.Store
	server := httptest.NewServer(m.Handler())
	t.Cleanup(server.Close)
	s, err := remote.New(server.URL)
	require.NoError(t, err)
	return &m, s
}

// both runs the test on the memory store and on the one over HTTP.
func both(t *testing.T, test func(t *testing.T, m *memory.Store, s store.Store)) {
	t.Run("memory", func(t *testing.T) {
		var m memory.Store
		test(t, &m, &m)
	})
	t.Run("remote", func(t *testing.T) {
		m, s := serve(t)
		test(t, m, s)
	})
}

func TestConditionalWrites(t *testing.T) {
	both(t, func(t *testing.T, _ *memory.Store, s store.Store) {
		ctx := t.Context()
		_, err := s.Get(ctx, "a/b")
		require.ErrorIs(t, err, store.ErrNotFound)
		_, err = s.Update(ctx, "a/b", 1, []byte("x"))
		require.ErrorIs(t, err, store.ErrConflict)
		first, err := s.Create(ctx, "a/b", []byte("one"))
		require.NoError(t, err)
		_, err = s.Create(ctx, "a/b", []byte("two"))
		require.ErrorIs(t, err, store.ErrConflict)
		second, err := s.Update(ctx, "a/b", first.Version, []byte("two"))
		require.NoError(t, err)
		require.Greater(t, second.Version, first.Version)
		_, err = s.Update(ctx, "a/b", first.Version, []byte("three"))
		require.ErrorIs(t, err, store.ErrConflict)
		got, err := s.Get(ctx, "a/b")
		require.NoError(t, err)
		require.Equal(t, second, got)
		require.ErrorIs(t, s.Delete(ctx, "a/b", first.Version), store.ErrConflict)
		require.NoError(t, s.Delete(ctx, "a/b", second.Version))
		_, err = s.Get(ctx, "a/b")
		require.ErrorIs(t, err, store.ErrNotFound)
		_, err = s.Create(ctx, "large", make([]byte, store.MaxValue+1))
		require.ErrorIs(t, err, store.ErrTooLarge)
	})
}

func TestListInPages(t *testing.T) {
	both(t, func(t *testing.T, _ *memory.Store, s store.Store) {
		ctx := t.Context()
		for i := range 450 {
			_, err := s.Create(ctx, "p/"+string(rune('a'+i/26))+string(rune('a'+i%26)), []byte{byte(i)})
			require.NoError(t, err)
		}
		_, err := s.Create(ctx, "q", nil)
		require.NoError(t, err)
		var keys []string
		after, pages := "", 0
		for more := true; more; pages++ {
			page, err := s.List(ctx, "p/", after)
			require.NoError(t, err)
			for _, o := range page.Objects {
				keys = append(keys, o.Key)
			}
			after, more = keys[len(keys)-1], page.More
		}
		require.Len(t, keys, 450)
		require.IsIncreasing(t, keys)
		require.Equal(t, 3, pages)
	})
}

func TestWatch(t *testing.T) {
	both(t, func(t *testing.T, m *memory.Store, s store.Store) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o, err := m.Create(ctx, "w/1", []byte("one"))
		require.NoError(t, err)
		seen := make(chan store.Event)
		ended := make(chan error, 1)
		go func() { ended <- s.Watch(ctx, "w/", 0, func(c store.Event) { seen <- c }) }()
		require.Equal(t, store.Put{Object: o, Revision: 1}, <-seen)
		_, err = m.Create(ctx, "other", nil)
		require.NoError(t, err)
		require.NoError(t, m.Delete(ctx, "w/1", o.Version))
		got := <-seen
		for mark, ok := got.(store.Bookmark); ok; mark, ok = got.(store.Bookmark) {
			require.LessOrEqual(t, mark.Revision, uint64(3))
			got = <-seen
		}
		require.Equal(t, store.Delete{Key: "w/1", Revision: 3}, got)
		require.Equal(t, store.Bookmark{Revision: 3}, <-seen)
		m.Compact()
		require.ErrorIs(t, s.Watch(ctx, "w/", 1, nil), store.ErrCompacted)
		cancel()
		require.Error(t, <-ended)
	})
}

func TestFaults(t *testing.T) {
	both(t, func(t *testing.T, m *memory.Store, s store.Store) {
		ctx := t.Context()
		m.SetFaults(memory.Faults{LoseAnswers: 1})
		_, err := s.Create(ctx, "k", []byte("v"))
		require.ErrorIs(t, err, store.ErrOutcomeUnknown)
		o, err := s.Get(ctx, "k")
		require.NoError(t, err)
		require.Equal(t, []byte("v"), o.Value)
		m.SetFaults(memory.Faults{DropWrites: 1})
		_, err = s.Update(ctx, "k", o.Version, []byte("w"))
		require.ErrorIs(t, err, store.ErrOutcomeUnknown)
		o, err = s.Get(ctx, "k")
		require.NoError(t, err)
		require.Equal(t, []byte("v"), o.Value)
		m.SetFaults(memory.Faults{Outage: true})
		_, err = s.Update(ctx, "k", o.Version, []byte("w"))
		require.ErrorIs(t, err, store.ErrUnavailable)
		require.ErrorIs(t, s.Watch(ctx, "", 0, nil), store.ErrUnavailable)
	})
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	s, err := remote.New("http://" + listener.Addr().String())
	require.NoError(t, err)
	_, err = s.Create(t.Context(), "k", nil)
	require.ErrorIs(t, err, store.ErrUnavailable)
}

func TestStatuses(t *testing.T) {
	cases := []struct {
		status int
		want   error
	}{
		{http.StatusTooManyRequests, store.ErrUnavailable},
		{http.StatusServiceUnavailable, store.ErrUnavailable},
		{http.StatusInternalServerError, store.ErrOutcomeUnknown},
		{http.StatusBadGateway, store.ErrOutcomeUnknown},
		{http.StatusRequestEntityTooLarge, store.ErrTooLarge},
	}
	for _, c := range cases {
		t.Run(http.StatusText(c.status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) }))
			defer server.Close()
			s, err := remote.New(server.URL)
			require.NoError(t, err)
			_, err = s.Create(t.Context(), "k", nil)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// A silent transport takes a call and never answers; a watch answers with one
// line and goes silent.
type silent struct{ idle int }

func (s *silent) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.URL.Path, "/watch") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, write := io.Pipe()
	go func() {
		_, _ = write.Write([]byte(`{"kind":"bookmark","revision":7}` + "\n"))
		<-r.Context().Done()
		write.CloseWithError(r.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

func (s *silent) CloseIdleConnections() { s.idle++ }

func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var transport silent
		s, err := remote.NewWithTransport("http://127.0.0.1:1", &transport)
		require.NoError(t, err)
		start := time.Now()
		_, err = s.Get(t.Context(), "k")
		require.True(t, errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown))
		require.Equal(t, remote.Timeout, time.Since(start))

		start = time.Now()
		var seen []store.Event
		err = s.Watch(t.Context(), "", 7, func(c store.Event) { seen = append(seen, c) })
		require.ErrorIs(t, err, store.ErrUnavailable)
		require.Equal(t, []store.Event{store.Bookmark{Revision: 7}}, seen)
		require.Equal(t, remote.WatchIdleTimeout, time.Since(start))
		require.Positive(t, transport.idle)
	})
}

// TestSilentConnection uses sockets: the peer accepts, reads and never answers.
func TestSilentConnection(t *testing.T) {
	block := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block }))
	defer server.Close()
	defer close(block)
	s, err := remote.New(server.URL)
	require.NoError(t, err)
	_, err = s.Create(t.Context(), "k", []byte("v"))
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
}

func TestAddresses(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1:1", "ftp://127.0.0.1:1", "http://127.0.0.1:1/path", "http://"} {
		_, err := remote.New(address)
		require.Error(t, err, address)
	}
}
