// Package version keeps the published versions of adapters and decides which of them
// may still serve requests.
//
// The platform publishes the versions of an adapter in ascending order. Once a version is
// published, requests may begin on the one before it for a limited time only, which counts
// from that publication: a further version gives an older one no more time.
//
// A host learns of a publication after the fact. So the Table keeps a time before which
// the version was certainly not published yet, and counts from there.
package version

import (
	"iter"
	"slices"
	"time"

	"jacinthstage/stage/residency"
)

// A Publication is one version as this host learned of it.
type Publication struct {
	Version int
	After   time.Time // the version was published after this time; zero if that is unknown
	Seen    time.Time // when this host learned of it
}

// maxPublications is the number of publications of one adapter that a Table keeps.
const maxPublications = 32

// A Table holds the publications of all adapters. The zero value is empty. A Table is not
// safe for concurrent use.
type Table struct {
	adapters map[residency.Key][]Publication // in ascending order of versions; the oldest stands for all before it
}

// Publish records a publication. It returns false if the same version of the adapter, or a
// newer one, is known already.
func (t *Table) Publish(k residency.Key, p Publication) bool {
	known := t.adapters[k]
	if len(known) > 0 && p.Version <= known[len(known)-1].Version {
		return false
	}
	if t.adapters == nil {
		t.adapters = make(map[residency.Key][]Publication)
	}
	known = append(known, p)
	if len(known) > maxPublications {
		known = slices.Delete(known, 0, 1)
		known[0].After = time.Time{} // versions before it may have been replaced at any time
	}
	t.adapters[k] = known
	return true
}

// Newest returns the newest publication of an adapter, or the zero value if there is none.
func (t *Table) Newest(k residency.Key) Publication {
	known := t.adapters[k]
	if len(known) == 0 {
		return Publication{}
	}
	return known[len(known)-1]
}

// Successor returns the publication that replaced a version: the first newer one. It
// returns false if there is none.
func (t *Table) Successor(k residency.Key, version int) (Publication, bool) {
	for _, p := range t.adapters[k] {
		if p.Version > version {
			return p, true
		}
	}
	return Publication{}, false
}

// AllNewest returns the newest version of each adapter of which one was published.
func (t *Table) AllNewest() iter.Seq2[residency.Key, int] {
	return func(yield func(residency.Key, int) bool) {
		for k, known := range t.adapters {
			if !yield(k, known[len(known)-1].Version) {
				return
			}
		}
	}
}
