package residency

import (
	"time"
)

// A Usage counts a runner's places by what holds them.
type SlotUsage struct{ Busy, Idle, Loading, Unloading, Uncertain int }

// SlotUsage counts the runner's places.
func (s *Manager) SlotUsage(now time.Time) SlotUsage {
	var u SlotUsage
	for k, e := range s.entries {
		switch {
		case k.Adapter == "":
		case e.state == Loading:
			u.Loading++
		case e.state == Unloading:
			u.Unloading++
		case e.state == Resident && e.busy(now):
			u.Busy++
		case e.state == Resident:
			u.Idle++
		case !e.doubt.IsZero():
			u.Uncertain++
		}
	}
	return u
}

// SlotWait returns how long an adapter that is wished for now would wait for a place.
func (s *Manager) SlotWait(now time.Time) time.Duration {
	return placeTime(len(s.wishes)-s.spare(now), s.Slots)
}

// placeTime returns how long it takes until a place is free where short wishes
// are before it.
func placeTime(short, slots int) time.Duration {
	if short < 0 {
		return 0
	}
	return time.Duration(short+1) * meanHold / time.Duration(max(1, slots))
}

// SpareSlots returns the places that a wish could take at once; it is negative where
// wishes wait. It reports false where no adapter can be had for now.
func (s *Manager) SpareSlots(now time.Time) (int, bool) {
	if !s.Synced() || now.Before(s.NotBefore) || len(s.models) == 0 {
		return 0, false
	}
	return s.spare(now) - len(s.wishes), true
}

// spare returns the places that are free or held by adapters that nobody uses.
func (s *Manager) spare(now time.Time) int {
	n := s.Slots
	for k, e := range s.entries {
		if k.Adapter != "" && s.takes(e) && !(e.state == Resident && !e.busy(now)) {
			n--
		}
	}
	return n
}

func (s *Manager) taken() int {
	n := 0
	for k, e := range s.entries {
		if k.Adapter != "" && s.takes(e) {
			n++
		}
	}
	return n
}

// victim returns the adapter that makes way: the one of least weight that no
// request of this host uses, if none is leaving already.
func (s *Manager) victim(now time.Time) (Key, bool) {
	var best Key
	found := false
	least := 0.0
	for k, e := range s.entries {
		if e.state == Unloading {
			return Key{}, false
		}
		if k.Adapter == "" || e.state != Resident || e.busy(now) {
			continue
		}
		if w := e.weight(now); !found || w < least || w == least && k.Adapter < best.Adapter {
			best, found, least = k, true, w
		}
	}
	return best, found
}
