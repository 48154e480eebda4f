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

// A holder is one host's copy of a kind, and the objects that were passed on to it.
type holder struct {
	set   mirror.Set
	copy  *mirror.Copy
	seen  map[string]string
	pages int
}

func newHolder() *holder {
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

// syncFrom updates the copy from another host by the state that it reports at now.
func (h *holder) syncFrom(t require.TestingT, now time.Time, other *holder) {
	for _, state := range other.set.States(now) {
		after, behind := h.set.Observe(now, state)
		if !behind {
			continue
		}
		data, err := other.set.EncodePage(state.Kind, after)
		require.NoError(t, err)
		applied, err := h.set.ApplyPage(state, after, now, data)
		require.NoError(t, err)
		require.True(t, applied)
	}
}

func object(name, body string) mirror.Object {
	return mirror.Object{Name: name, Body: []byte(body)}
}

// TestSyncFromReader checks that a host which syncs from another has the same
// objects, and need not read the store as long as the other one does.
func TestSyncFromReader(t *testing.T) {
	reader, h := newHolder(), newHolder()
	require.True(t, reader.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1"), object("b", "1")}}, 0, at(0)))
	h.syncFrom(t, at(100), reader)
	require.Equal(t, reader.seen, h.seen)
	require.Equal(t, at(2600), h.copy.RefreshDue())
	require.True(t, reader.copy.RefreshDue().IsZero(), "the reader does not depend on other hosts")

	require.True(t, reader.copy.Update(mirror.Page{Revision: 12, Objects: []mirror.Object{{Name: "a", Removed: true}, object("c", "1")}}, 10, at(500)))
	h.syncFrom(t, at(600), reader)
	require.Equal(t, map[string]string{"b": "1", "c": "1"}, h.seen)
	require.Equal(t, at(3100), h.copy.RefreshDue())
	require.Equal(t, 2, h.pages)

	// The reader has read the store and found no changes.
	require.True(t, reader.copy.Update(mirror.Page{Revision: 15}, 12, at(2000)))
	h.syncFrom(t, at(2100), reader)
	require.Equal(t, 2, h.pages)
	require.Equal(t, at(4600), h.copy.RefreshDue())
	require.EqualValues(t, 15, h.copy.Revision())
}

// TestReaderLosesStore checks that a reader which no longer reaches the store
// stops confirming its copy, so that a host which syncs from it reads the store
// itself.
func TestReaderLosesStore(t *testing.T) {
	reader, h := newHolder(), newHolder()
	reader.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1")}}, 0, at(0))
	for ms := 100; ms < 5000; ms += 100 {
		h.syncFrom(t, at(ms), reader)
	}
	require.Equal(t, at(2600), h.copy.RefreshDue())
	h.copy.Update(mirror.Page{Revision: 20, Objects: []mirror.Object{object("a", "2")}}, 10, at(5000))
	h.syncFrom(t, at(5100), reader)
	require.Equal(t, "2", h.seen["a"], "the older state of the reader is ignored")
	require.Equal(t, at(2600), h.copy.RefreshDue())
}

// TestOwnReadThenPeer checks that a host which has just read the store itself
// pauses as soon as another shows that it reads the store too, though the other
// one's copy is a little older.
func TestOwnReadThenPeer(t *testing.T) {
	reader, h := newHolder(), newHolder()
	list := mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1")}}
	reader.copy.Update(list, 0, at(0))
	h.copy.Update(list, 0, at(0))
	h.copy.Update(mirror.Page{Revision: 11}, 10, at(4000))
	reader.copy.Update(mirror.Page{Revision: 12}, 10, at(3500))
	h.syncFrom(t, at(4100), reader)
	require.Equal(t, at(6100), h.copy.RefreshDue())
}

// TestLateOrUnconnectedPages checks that a page which is late, or does not follow
// on from the state of the copy, changes nothing.
func TestLateOrUnconnectedPages(t *testing.T) {
	h := newHolder()
	require.False(t, h.copy.Update(mirror.Page{Revision: 5, Objects: []mirror.Object{object("a", "1")}}, 4, at(0)), "before the first list")
	h.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "new")}}, 0, at(0))
	require.True(t, h.copy.Update(mirror.Page{Revision: 9, Full: true, Objects: []mirror.Object{object("a", "old")}}, 0, at(10)))
	require.False(t, h.copy.Update(mirror.Page{Revision: 30, Objects: []mirror.Object{object("a", "gap")}}, 20, at(20)))
	require.Equal(t, "new", h.seen["a"])
	// A list after the store dropped its history may show a change that no watch
	// reported.
	h.copy.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "missed")}}, 0, at(30))
	require.Equal(t, "missed", h.seen["a"])
}

// TestListThatHidesChanges guards against a list that equals what a copy has, but
// hides changes in between that cancelled each other out. A host that saw only a
// part of them must still get the list.
func TestListThatHidesChanges(t *testing.T) {
	reader, other, h := newHolder(), newHolder(), newHolder()
	empty := mirror.Page{Revision: 1, Full: true}
	for _, x := range []*holder{reader, other, h} {
		x.copy.Update(empty, 0, at(0))
	}
	reader.copy.Update(mirror.Page{Revision: 2, Objects: []mirror.Object{object("a", "1")}}, 1, at(10))
	h.syncFrom(t, at(20), reader)
	require.Equal(t, "1", h.seen["a"])
	other.copy.Update(mirror.Page{Revision: 3, Full: true}, 0, at(30))
	h.syncFrom(t, at(40), other)
	require.Empty(t, h.seen)
}

// TestCopiesConverge checks that whatever the reader reads, and whenever other
// hosts sync from it or from each other, each ends with the store's objects.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := map[string]string{}
		revision := uint64(1)
		hosts := []*holder{newHolder(), newHolder(), newHolder()}
		list := func() mirror.Page {
			p := mirror.Page{Revision: revision, Full: true}
			for name, body := range truth {
				p.Objects = append(p.Objects, object(name, body))
			}
			return p
		}
		hosts[0].copy.Update(list(), 0, at(0))
		updated := revision
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
				hosts[0].copy.Update(mirror.Page{Revision: revision, Objects: since}, updated, at(step))
				updated, since = revision, nil
			case 3:
				hosts[0].copy.Update(list(), 0, at(step))
				updated, since = revision, nil
			default:
				to := rapid.IntRange(1, 2).Draw(t, "to")
				hosts[to].syncFrom(t, at(step), hosts[rapid.IntRange(0, to-1).Draw(t, "from")])
			}
		}
		hosts[0].copy.Update(mirror.Page{Revision: revision, Objects: since}, updated, at(1000))
		hosts[1].syncFrom(t, at(1001), hosts[0])
		hosts[2].syncFrom(t, at(1002), hosts[1])
		for i, h := range hosts {
			require.Equal(t, truth, h.seen, "host %d", i)
		}
	})
}

// TestOrderedCopyKeepsNewerObject guards against an object that goes back because the store
// has come back from an older copy, in the copy itself and in what others get from it.
func TestOrderedCopyKeepsNewerObject(t *testing.T) {
	open := func() (*mirror.Set, *mirror.Copy, *string) {
		var set mirror.Set
		seen := new(string)
		order := func(o mirror.Object) uint64 { return uint64(len(o.Body)) }
		return &set, set.OpenOrdered("kind", order, func(p mirror.Page) {
			for _, o := range p.Objects {
				*seen = string(o.Body)
			}
		}), seen
	}
	list := func(revision uint64, body string) mirror.Page {
		return mirror.Page{Revision: revision, Full: true, Objects: []mirror.Object{object("a", body)}}
	}
	set, copied, _ := open()
	copied.Update(list(10, "long"), 0, at(0))
	copied.Update(list(20, "old"), 0, at(10))
	copied.Update(mirror.Page{Revision: 21, Objects: []mirror.Object{object("a", "o")}}, 20, at(20))
	copied.Update(mirror.Page{Revision: 22, Objects: []mirror.Object{{Name: "a", Removed: true}}}, 21, at(30))

	other, behind, seen := open()
	behind.Update(list(30, "old"), 0, at(40))
	data, err := set.EncodePage("kind", 0)
	require.NoError(t, err)
	newer, err := other.MergePage("kind", data)
	require.NoError(t, err)
	require.True(t, newer)
	require.Equal(t, "long", *seen)
	newer, err = other.MergePage("kind", data)
	require.NoError(t, err)
	require.False(t, newer)

	copied.Update(list(40, "longer"), 0, at(50))
	data, err = set.EncodePage("kind", 0)
	require.NoError(t, err)
	_, err = other.MergePage("kind", data)
	require.NoError(t, err)
	require.Equal(t, "longer", *seen)
}

// TestListSaysWhatWasUnseen checks that a list is passed on with the time since when changes may be
// missing, also if its objects are those that were known: some may have come and gone.
func TestListSaysWhatWasUnseen(t *testing.T) {
	var set mirror.Set
	var unseen []time.Time
	c := set.Open("kind", func(p mirror.Page) { unseen = append(unseen, p.Unseen) })
	list := mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{object("a", "1")}}
	c.Update(list, 0, at(0))
	c.Update(mirror.Page{Revision: 11}, 10, at(500))
	list.Revision = 20
	c.Update(list, 0, at(9000))
	require.Equal(t, []time.Time{{}, at(500)}, unseen)
}

// TestMergedObjectIsOfUnknownAge guards against a version that the store has lost in a restore, and that another host
// still has, being taken for one that was written since.
func TestMergedObjectIsOfUnknownAge(t *testing.T) {
	order := func(o mirror.Object) uint64 { return uint64(o.Body[0]) }
	var one, two mirror.Set
	var pages []mirror.Page
	before := one.OpenOrdered("kind", order, func(mirror.Page) {})
	after := two.OpenOrdered("kind", order, func(p mirror.Page) { pages = append(pages, p) })
	before.Update(mirror.Page{Revision: 10, Full: true, Objects: []mirror.Object{{Name: "x", Revision: 10, Body: []byte{3}}}}, 0, time.Unix(1, 0))
	after.Update(mirror.Page{Revision: 5, Full: true, Objects: []mirror.Object{{Name: "x", Revision: 5, Body: []byte{2}}}}, 0, time.Unix(5, 0))
	page, err := one.EncodePage("kind", 0)
	require.NoError(t, err)
	merged, err := two.MergePage("kind", page)
	require.NoError(t, err)
	require.True(t, merged)
	require.Len(t, pages, 2)
	require.Zero(t, pages[1].Unseen)
}
