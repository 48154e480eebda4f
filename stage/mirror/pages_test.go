package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/mirror"
)

// A history is a store with all changes that it ever made.
type history struct {
	objects map[string]mirror.Object
	changes []mirror.Object
}

func (h *history) revision() uint64 { return uint64(len(h.changes)) }

// change sets or removes a drawn object.
func (h *history) change(t *rapid.T) {
	o := mirror.Object{Name: fmt.Sprint("o", rapid.IntRange(0, 9).Draw(t, "name")), Revision: h.revision() + 1}
	if _, ok := h.objects[o.Name]; ok && rapid.Bool().Draw(t, "removed") {
		o.Removed = true
		delete(h.objects, o.Name)
	} else {
		o.Body = fmt.Append(nil, o.Revision)
		h.objects[o.Name] = o
	}
	h.changes = append(h.changes, o)
}

// page returns up to size objects behind a name, in their order.
func (h *history) page(after string, size int) []mirror.Object {
	var out []mirror.Object
	for _, name := range slices.Sorted(maps.Keys(h.objects)) {
		if name > after && len(out) < size {
			out = append(out, h.objects[name])
		}
	}
	return out
}

// TestChangesBetweenPages draws changes between the pages of a list and after it. The copy ends in
// the store's state, no object goes back on the way, and another host's copy that was complete up to
// the list's revision gets there from this one.
func TestChangesBetweenPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &history{objects: map[string]mirror.Object{}}
		changeSome := func() {
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				store.change(t)
			}
		}
		for range 10 {
			store.change(t)
		}
		var set mirror.Set
		seen, newest := map[string]string{}, map[string]uint64{}
		c := set.Open("kind", func(p mirror.Page) {
			for _, o := range p.Objects {
				require.Greater(t, o.Revision, newest[o.Name], "%s goes back", o.Name)
				newest[o.Name], seen[o.Name] = o.Revision, string(o.Body)
				if o.Removed {
					delete(seen, o.Name)
				}
			}
		})
		other := newHolder()
		first, after, listed := store.revision(), "", []mirror.Object(nil)
		all := slices.Collect(maps.Values(store.objects))
		other.copy.Update(mirror.Page{Revision: first, Full: true, Objects: all}, 0, at(0))
		for {
			page := store.page(after, 3)
			listed = append(listed, page...)
			changeSome()
			if len(page) < 3 {
				break
			}
			after = page[2].Name
		}
		c.Update(mirror.Page{Revision: first, Full: true, Objects: listed}, 0, at(1))
		changeSome()
		c.Update(mirror.Page{Revision: store.revision(), Objects: store.changes[first:]}, first, at(2))
		want := map[string]string{}
		for name, o := range store.objects {
			want[name] = string(o.Body)
		}
		require.Equal(t, want, seen)
		data, err := set.EncodePage("kind", first)
		require.NoError(t, err)
		state := set.States(at(3))[0]
		if afterOther, behind := other.set.Observe(at(3), state); behind {
			_, err = other.set.ApplyPage(state, afterOther, at(3), data)
			require.NoError(t, err)
		}
		require.Equal(t, want, other.seen)
	})
}
