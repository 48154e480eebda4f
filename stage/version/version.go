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

const (
	// maxPublications is the number of publications of one adapter that a Table keeps.
	maxPublications = 32
	// DefaultBound is the Bound of a Table that sets none.
	DefaultBound = 5 * time.Second
	// sendShare and startShare are the parts of the bound within which a request may be sent to a
	// target that holds an older version, and within which it must have begun there. The rest is
	// for the way to the target, and for a host that stood still in between: its clock may not have
	// counted that time.
	sendShare  = 0.6
	startShare = 0.9
)

// A Table holds the publications of all adapters. The zero value is empty. A Table is not
// safe for concurrent use.
type Table struct {
	// Bound is how long after the publication of a newer version a request may begin on an
	// older one; 0 stands for DefaultBound.
	Bound time.Duration

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
		first := known[0].After // since when versions before it may have been replaced
		known = slices.Delete(known, 0, 1)
		known[0].After = first
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

// Accepts reports whether a request that is sent now, and is expected to begin at begin, may go to
// a target that holds the given version. Version 0 stands for one that is unknown: all have to do.
func (t *Table) Accepts(now, begin time.Time, k residency.Key, version int) bool {
	p, replaced := t.Successor(k, version)
	return !replaced || now.Before(t.within(p, sendShare)) && begin.Before(t.within(p, startShare))
}

// LastStart returns until when a request that was sent may begin on the given version, which is 0 if
// it is unknown. It returns false if there is no such time: no newer version was published yet, or
// this host has just started and can't know when.
func (t *Table) LastStart(k residency.Key, version int) (time.Time, bool) {
	p, replaced := t.Successor(k, version)
	if !replaced || p.After.IsZero() {
		return time.Time{}, false
	}
	return t.within(p, startShare), true
}

// within returns the end of a part of the bound that counts from a publication.
func (t *Table) within(p Publication, share float64) time.Time {
	bound := t.Bound
	if bound == 0 {
		bound = DefaultBound
	}
	return p.After.Add(time.Duration(share * float64(bound)))
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
