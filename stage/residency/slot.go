package residency

import (
	"time"
)

// A SlotUsage counts the slots of a runner by what occupies them. Busy and Idle
// are the slots of resident adapters that are in use or not; Uncertain are those
// that a load without an answer may occupy.
type SlotUsage struct{ Busy, Idle, Loading, Unloading, Uncertain int }

// SlotUsage counts the runner's slots.
func (m *Manager) SlotUsage(now time.Time) SlotUsage {
	var u SlotUsage
	for k, e := range m.entries {
		switch {
		case k.Adapter == "":
		case e.state == Loading:
			u.Loading++
		case e.state == Unloading:
			u.Unloading++
		case e.state == Resident && e.inUse(now):
			u.Busy++
		case e.state == Resident:
			u.Idle++
		case !e.uncertainUntil.IsZero():
			u.Uncertain++
		}
	}
	return u
}

// SlotWait returns how long a load requested now would wait for a slot.
func (m *Manager) SlotWait(now time.Time) time.Duration {
	return slotWait(len(m.requested)-m.spareSlots(now), m.Slots)
}

// slotWait returns the expected time until a slot is free for a new load request,
// where missing is the number of earlier requests that no spare slot is left for.
func slotWait(missing, slots int) time.Duration {
	if missing < 0 {
		return 0
	}
	return time.Duration(missing+1) * meanUseDuration / time.Duration(max(1, slots))
}

// SpareSlots returns the number of slots that a load request could take at once.
// It is negative where requests wait for a slot. The second result is false where
// no adapter can be loaded for now.
func (m *Manager) SpareSlots(now time.Time) (int, bool) {
	if !m.Synced() || now.Before(m.NotBefore) || len(m.models) == 0 {
		return 0, false
	}
	return m.spareSlots(now) - len(m.requested), true
}

// spareSlots returns the number of slots that are free or occupied by adapters
// that are not in use.
func (m *Manager) spareSlots(now time.Time) int {
	n := m.Slots
	for k, e := range m.entries {
		if k.Adapter != "" && m.occupiesSlot(e) && !(e.state == Resident && !e.inUse(now)) {
			n--
		}
	}
	return n
}

func (m *Manager) occupiedSlots() int {
	n := 0
	for k, e := range m.entries {
		if k.Adapter != "" && m.occupiesSlot(e) {
			n++
		}
	}
	return n
}

// victim returns the adapter to evict: the one of least weight among the resident
// ones that are not in use. It returns none while another is being unloaded.
func (m *Manager) victim(now time.Time) (Key, bool) {
	var best Key
	found := false
	least := 0.0
	for k, e := range m.entries {
		if e.state == Unloading {
			return Key{}, false
		}
		if k.Adapter == "" || e.state != Resident || e.inUse(now) {
			continue
		}
		w := e.weight(now)
		if m.isOlder(k) {
			w = 0
		}
		if !found || w < least || w == least && k.Adapter < best.Adapter {
			best, found, least = k, true, w
		}
	}
	return best, found
}
