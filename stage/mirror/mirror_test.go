package mirror_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/mirror"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// A holder is a host's copy of one kind with what it was handed.
type holder struct {
	set   mirror.Set
	copy  *mirror.Copy
	seen  map[string]string
	pages int
}

func open() *holder {
	h := &holder{seen: map[string]string{}}
	h.copy = h.set.Open("kind", func(p mirror.Page) {
		h.pages++
		if p.Full {
			h.seen = map[string]string{}
		}
		for _, o := range p.Objects {
			if o.Removed {
				delete(h.seen, o.Name)
				continue
			}
			h.seen[o.Name] = string(o.Body)
		}
	})
	return h
}

// from takes over from another host what it tells at now.
func (h *holder) from(t require.TestingT, now time.Time, other *holder) {
	for _, head := range other.set.States(now) {
		after, behind := h.set.Observe(now, head)
		if !behind {
			continue
		}
		data, err := other.set.EncodePage(head.Kind, after)
		require.NoError(t, err)
		taken, err := h.set.ApplyPage(head, after, now, data)
		require.NoError(t, err)
		require.True(t, taken)
	}
}

func object(name, body string) mirror.Object {
	return mirror.Object{Name: name, Body: []byte(body)}
}

// TestTakenOver: a host that takes over from another has the same objects, and
// need not read them as long as that one does.
func TestTakenOver(t *testing.T) {
	reader, h := open(), open()
	require.True(t, reader.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1"), object("b", "1")}}, 0, at(0)))
	h.from(t, at(100), reader)
	require.Equal(t, reader.seen, h.seen)
	require.Equal(t, at(2600), h.copy.RefreshDue())
	require.True(t, reader.copy.RefreshDue().IsZero(), "it reads the store itself")

	require.True(t, reader.copy.Update(mirror.Page{Revision: 12, Objects: []mirror.Object{{Name: "a", Removed: true}, object("c", "1")}}, 10, at(500)))
	h.from(t, at(600), reader)
	require.Equal(t, map[string]string{"b": "1", "c": "1"}, h.seen)
	require.Equal(t, at(3100), h.copy.RefreshDue())
	require.Equal(t, 2, h.pages)

	// Nothing has changed, and the reader has made sure of it.
	require.True(t, reader.copy.Update(mirror.Page{Revision: 15}, 12, at(2000)))
	h.from(t, at(2100), reader)
	require.Equal(t, 2, h.pages)
	require.Equal(t, at(4600), h.copy.RefreshDue())
	require.EqualValues(t, 15, h.copy.Revision())
}

// TestReaderCutOff: a reader that no longer reaches the store says so, and who
// takes over from it reads the store by itself.
func TestReaderCutOff(t *testing.T) {
	reader, h := open(), open()
	reader.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1")}}, 0, at(0))
	for ms := 100; ms < 5000; ms += 100 {
		h.from(t, at(ms), reader)
	}
	require.Equal(t, at(2600), h.copy.RefreshDue())
	h.copy.Update(mirror.Page{Revision: 20, Objects: []mirror.Object{object("a", "2")}}, 10, at(5000))
	h.from(t, at(5100), reader)
	require.Equal(t, "2", h.seen["a"], "the reader is behind")
	require.Equal(t, at(2600), h.copy.RefreshDue())
}

// TestReadOnItsOwn: a host that has just read the store by itself rests as soon
// as another shows that it reads it too, though that one's view is a little older.
func TestReadOnItsOwn(t *testing.T) {
	reader, h := open(), open()
	list := mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1")}}
	reader.copy.Update(list, 0, at(0))
	h.copy.Update(list, 0, at(0))
	h.copy.Update(mirror.Page{Revision: 11}, 10, at(4000))
	reader.copy.Update(mirror.Page{Revision: 12}, 10, at(3500))
	h.from(t, at(4100), reader)
	require.Equal(t, at(6100), h.copy.RefreshDue())
}

// TestOldAnswers: what comes late, or does not follow on what the copy has,
// changes nothing.
func TestOldAnswers(t *testing.T) {
	h := open()
	require.False(t, h.copy.Update(mirror.Page{Revision: 5, Objects: []mirror.Object{object("a", "1")}}, 4, at(0)), "before the first list")
	h.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "new")}}, 0, at(0))
	require.True(t, h.copy.Update(mirror.Page{Revision: 9, Full: true, Objects: []mirror.Object{object("a", "old")}}, 0, at(10)))
	require.False(t, h.copy.Update(mirror.Page{Revision: 30, Objects: []mirror.Object{object("a", "far")}}, 20, at(20)))
	require.Equal(t, "new", h.seen["a"])
	// A list after the store dropped its history shows what no watch told.
	h.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "missed")}}, 0, at(30))
	require.Equal(t, "missed", h.seen["a"])
}

// TestListThatHidesChanges: a list that equals what a copy has may hide changes
// there and back, which a host that saw a part of them lacks.
func TestListThatHidesChanges(t *testing.T) {
	reader, slow, h := open(), open(), open()
	empty := mirror.Page{Revision: 1, Full: true}
	for _, x := range []*holder{reader, slow, h} {
		x.copy.Update(empty, 0, at(0))
	}
	reader.copy.Update(mirror.Page{Revision: 2, Objects: []mirror.Object{object("a", "1")}}, 1, at(10))
	h.from(t, at(20), reader)
	require.Equal(t, "1", h.seen["a"])
	slow.copy.Update(mirror.Page{Revision: 3, Full: true}, 0, at(30))
	h.from(t, at(40), slow)
	require.Empty(t, h.seen)
}

// TestAlwaysTheSame: whatever the reader is told, and whenever others take over
// from it or from each other, each ends with the store's objects.
func TestAlwaysTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := map[string]string{}
		revision := uint64(1)
		hosts := []*holder{open(), open(), open()}
		list := func() mirror.Page {
			p := mirror.Page{Revision: revision, Full: true}
			for name, body := range truth {
				p.Objects = append(p.Objects, object(name, body))
			}
			return p
		}
		hosts[0].copy.Update(list(), 0, at(0))
		told := revision
		var since []mirror.Object
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				revision++
				o := mirror.Object{Name: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name")), Removed: true}
				delete(truth, o.Name)
				if rapid.Bool().Draw(t, "put") {
					o.Removed = false
					o.Body = []byte(strings.Repeat("x", rapid.SampledFrom([]int{1, 50_000}).Draw(t, "size")) + fmt.Sprint(revision))
					truth[o.Name] = string(o.Body)
				}
				since = append(since, o)
			case 2:
				hosts[0].copy.Update(mirror.Page{Revision: revision, Objects: since}, told, at(step))
				told, since = revision, nil
			case 3:
				hosts[0].copy.Update(list(), 0, at(step))
				told, since = revision, nil
			default:
				to := rapid.IntRange(1, 2).Draw(t, "to")
				hosts[to].from(t, at(step), hosts[rapid.IntRange(0, to-1).Draw(t, "from")])
			}
		}
		hosts[0].copy.Update(mirror.Page{Revision: revision, Objects: since}, told, at(1000))
		hosts[1].from(t, at(1001), hosts[0])
		hosts[2].from(t, at(1002), hosts[1])
		for i, h := range hosts {
			require.Equal(t, truth, h.seen, "host %d", i)
		}
	})
}
