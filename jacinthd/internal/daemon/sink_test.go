package daemon_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/daemon"
)

// A slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (w *slowWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.text.Write(line)
}

// TestSinkNeverBlocks checks that lines are dropped and counted while the queue is
// full. A Sink that blocks would hang the test before its writer is released.
func TestSinkNeverBlocks(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	s := daemon.NewSink(w)
	for range 10000 {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, s.Dropped())
	close(w.release)
	s.Close()
	require.EqualValues(t, 10000, uint64(strings.Count(w.text.String(), "\n"))+s.Dropped())
}
