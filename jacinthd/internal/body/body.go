// Package body reads bodies into memory. A buffer grows with what arrives, not with what was
// announced, and only while a memory.Budget has room for it.
package body

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/memory"
)

// ErrNoMemory means that there was no room for a body, or that it had to give its room to others.
var ErrNoMemory = errors.New("short of memory")

// firstSize is the size of a buffer when the first bytes arrive, in bytes.
const firstSize = 512

// progressSize is the number of bytes, at least, that count as progress of a body.
const progressSize = 4 << 10

// A Buffer holds the bytes of a body that have arrived.
type Buffer struct {
	Holding *memory.Holding
	// Limit is the largest size that the buffer needs to have, in bytes.
	Limit int64
	// OnProgress is called when a number of bytes have arrived. It may be nil.
	OnProgress func(time.Time)

	data     []byte
	recorded int // size at the last progress
}

// Bytes returns what has arrived.
func (b *Buffer) Bytes() []byte { return b.data }

// ReadFrom reads a body to its end or up to the limit. It implements io.ReaderFrom.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	start := len(b.data)
	for int64(len(b.data)) < b.Limit {
		if err := b.reserve(1); err != nil {
			return int64(len(b.data) - start), err
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		b.progress()
		if err == io.EOF {
			break
		}
		if err != nil {
			return int64(len(b.data) - start), err
		}
	}
	return int64(len(b.data) - start), nil
}

// Write appends a part of a body. It implements io.Writer.
func (b *Buffer) Write(part []byte) (int, error) {
	if err := b.reserve(len(part)); err != nil {
		return 0, err
	}
	b.data = append(b.data, part...)
	b.progress()
	return len(part), nil
}

// reserve makes sure that n more bytes fit.
func (b *Buffer) reserve(n int) error {
	needed := len(b.data) + n
	if needed <= cap(b.data) {
		return nil
	}
	size := max(firstSize, 2*cap(b.data))
	if b.Limit > 0 {
		size = int(min(int64(size), b.Limit))
	}
	size = max(size, needed)
	if !b.Holding.Grow(time.Now(), int64(size-cap(b.data))) {
		return ErrNoMemory
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

func (b *Buffer) progress() {
	if len(b.data)-b.recorded < progressSize {
		return
	}
	b.recorded = len(b.data)
	now := time.Now()
	b.Holding.Progress(now)
	if b.OnProgress != nil {
		b.OnProgress(now)
	}
}
