// Package prefix remembers which parts of prompts a runner has read, so that
// requests that share them can go where they need not be read again.
//
// A part is known by the model, the adapter and every part before it. What is
// remembered is bounded by tokens and forgets the part that was used longest
// ago, as a runner's own cache does. It is a guess: the runner may have dropped
// a part sooner.
package prefix

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/call"
)

// A Memory is what one runner is thought to keep. Limit must be set.
type Cache struct {
	MaxTokens int // tokens

	tokens int
	known  map[uint64]*list.Element
	order  list.List // of piece, the one used last at the front
}

type piece struct {
	key    uint64
	tokens int
}

// Keys returns the key of each part that requests can share, which is all but
// the last: that one is the request's own.
func Keys(c call.Call) []uint64 {
	if len(c.Segments) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(c.Segments)-1)
	key := xxhash.Sum64String(c.Model + "/" + c.Adapter)
	for _, p := range c.Segments[:len(c.Segments)-1] {
		var both [16]byte
		binary.LittleEndian.PutUint64(both[:8], key)
		binary.LittleEndian.PutUint64(both[8:], p.ID)
		key = xxhash.Sum64(both[:])
		keys = append(keys, key)
	}
	return keys
}

// CachedTokens returns how many tokens of a prompt need not be read.
func (m *Cache) CachedTokens(c call.Call, keys []uint64) int {
	tokens := 0
	for i, key := range keys {
		if m.known[key] == nil {
			break
		}
		tokens += c.Segments[i].Tokens
	}
	return tokens
}

// Add takes in that a prompt is read.
func (m *Cache) Add(c call.Call, keys []uint64) {
	if m.known == nil {
		m.known = make(map[uint64]*list.Element)
	}
	for i, key := range keys {
		if e := m.known[key]; e != nil {
			m.order.MoveToFront(e)
			continue
		}
		m.known[key] = m.order.PushFront(piece{key: key, tokens: c.Segments[i].Tokens})
		m.tokens += c.Segments[i].Tokens
	}
	for m.tokens > m.MaxTokens && m.order.Len() > 0 {
		m.drop(m.order.Back())
	}
}

func (m *Cache) drop(e *list.Element) {
	p := m.order.Remove(e).(piece)
	delete(m.known, p.key)
	m.tokens -= p.tokens
}
