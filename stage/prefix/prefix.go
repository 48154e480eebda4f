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
type Memory struct {
	Limit int // tokens

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
	if len(c.Parts) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(c.Parts)-1)
	key := xxhash.Sum64String(c.Model + "/" + c.Adapter)
	for _, p := range c.Parts[:len(c.Parts)-1] {
		var both [16]byte
		binary.LittleEndian.PutUint64(both[:8], key)
		binary.LittleEndian.PutUint64(both[8:], p.ID)
		key = xxhash.Sum64(both[:])
		keys = append(keys, key)
	}
	return keys
}

// Cached returns how many tokens of a prompt need not be read.
func (m *Memory) Cached(c call.Call, keys []uint64) int {
	tokens := 0
	for i, key := range keys {
		if m.known[key] == nil {
			break
		}
		tokens += c.Parts[i].Tokens
	}
	return tokens
}

// Note takes in that a prompt is read.
func (m *Memory) Note(c call.Call, keys []uint64) {
	if m.known == nil {
		m.known = make(map[uint64]*list.Element)
	}
	for i, key := range keys {
		if e := m.known[key]; e != nil {
			m.order.MoveToFront(e)
			continue
		}
		m.known[key] = m.order.PushFront(piece{key: key, tokens: c.Parts[i].Tokens})
		m.tokens += c.Parts[i].Tokens
	}
	for m.tokens > m.Limit && m.order.Len() > 0 {
		m.drop(m.order.Back())
	}
}

func (m *Memory) drop(e *list.Element) {
	p := m.order.Remove(e).(piece)
	delete(m.known, p.key)
	m.tokens -= p.tokens
}
