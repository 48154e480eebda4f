// Package prefix estimates which prompt prefixes a runner has cached, so that
// requests that share a prefix can be sent to a runner that need not process it
// again.
//
// A prompt consists of segments. A cached segment is identified by the model, the
// adapter and all segments before it. Like the runner's own cache, a Cache is
// limited by the number of tokens and evicts the least recently used segment. It
// is only an estimate: the runner may have evicted a segment earlier.
package prefix

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/call"
)

// A Cache holds the prompt segments that one runner is assumed to have cached.
// MaxTokens must be set.
type Cache struct {
	MaxTokens int

	tokens  int
	entries map[uint64]*list.Element
	order   list.List // of segment, the most recently used one at the front
}

type segment struct {
	key    uint64
	tokens int
}

// Keys returns the key of each segment that requests can share. These are all but
// the last one, which belongs to a single request.
func Keys(c call.Call) []uint64 {
	if len(c.Segments) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(c.Segments)-1)
	key := xxhash.Sum64String(c.Model + "/" + c.Adapter)
	for _, s := range c.Segments[:len(c.Segments)-1] {
		var both [16]byte
		binary.LittleEndian.PutUint64(both[:8], key)
		binary.LittleEndian.PutUint64(both[8:], s.ID)
		key = xxhash.Sum64(both[:])
		keys = append(keys, key)
	}
	return keys
}

// CachedTokens returns the number of tokens of a prompt that are cached.
func (c *Cache) CachedTokens(r call.Call, keys []uint64) int {
	tokens := 0
	for i, key := range keys {
		if c.entries[key] == nil {
			break
		}
		tokens += r.Segments[i].Tokens
	}
	return tokens
}

// Add records that the runner processes a prompt.
func (c *Cache) Add(r call.Call, keys []uint64) {
	if c.entries == nil {
		c.entries = make(map[uint64]*list.Element)
	}
	for i, key := range keys {
		if e := c.entries[key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[key] = c.order.PushFront(segment{key: key, tokens: r.Segments[i].Tokens})
		c.tokens += r.Segments[i].Tokens
	}
	for c.tokens > c.MaxTokens && c.order.Len() > 0 {
		c.evict(c.order.Back())
	}
}

func (c *Cache) evict(e *list.Element) {
	s := c.order.Remove(e).(segment)
	delete(c.entries, s.key)
	c.tokens -= s.tokens
}
