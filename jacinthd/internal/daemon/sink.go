package daemon

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of log lines that wait to be written.
const maxQueuedLines = 4096

// A Sink writes log lines without blocking its callers. Lines that arrive while the
// queue is full are dropped and counted. Use NewSink to create one.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewSink returns a Sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(w)
	return s
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		if line == nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
}

// Write implements io.Writer. It queues a copy of line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for queued lines.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were not written.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close waits until the queued lines are written and ends the Sink.
func (s *Sink) Close() {
	s.lines <- nil
	<-s.done
}
