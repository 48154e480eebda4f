package load

import (
	"context"
	"net/netip"

	"jacinthstage/standin/internal/engine"
	"jacinthstage/standin/internal/registry"
)

// A usage is what the targets counted up to some time.
type targetCounts struct {
	engines    map[string]engine.Counts // by incarnation
	batchSlots map[string]int           // size of the batch, by incarnation
	runsByKey  map[string]int           // times that each key ran
	// hasRegistries says that calls were read.
	hasRegistries bool
}

func (t *Generator) readCounts(ctx context.Context) (targetCounts, error) {
	u := targetCounts{engines: map[string]engine.Counts{}, batchSlots: map[string]int{}, runsByKey: map[string]int{}, hasRegistries: len(t.Registries) > 0}
	for _, address := range t.Runners {
		if err := t.readEngine(ctx, u, address); err != nil {
			return u, err
		}
	}
	for _, address := range t.Registries {
		var counts registry.Counts
		if err := t.getJSON(ctx, address, "/admin/counts", &counts); err != nil {
			return u, err
		}
		for key, times := range counts.RunsByKey {
			u.runsByKey[key] += times
		}
	}
	return u, nil
}

func (t *Generator) readEngine(ctx context.Context, u targetCounts, address netip.AddrPort) error {
	var counts engine.Counts
	if err := t.getJSON(ctx, address, "/admin/counts", &counts); err != nil {
		return err
	}
	var report engine.Report
	if err := t.getJSON(ctx, address, "/v1/report", &report); err != nil {
		return err
	}
	u.engines[counts.Incarnation] = counts
	u.batchSlots[counts.Incarnation] = report.BatchSlots
	return nil
}

// sameEngines reports whether the engines are the ones that they were before.
func (u targetCounts) sameEngines(before targetCounts) bool {
	for name := range u.engines {
		if _, ok := before.engines[name]; !ok {
			return false
		}
	}
	return true
}

// addDelta puts what the targets counted since before into r.
func (u targetCounts) addDelta(r *Report, before targetCounts) {
	filled, places := 0, 0
	for name, now := range u.engines {
		then := before.engines[name]
		r.Loads += now.Loads - then.Loads
		r.EvictedInUse += now.EvictedInUse - then.EvictedInUse
		filled += now.BatchSlotsUsed - then.BatchSlotsUsed
		places += (now.Steps - then.Steps) * u.batchSlots[name]
	}
	if places > 0 {
		r.BatchFill = float64(filled) / float64(places)
	}
	for _, times := range u.runsByKey {
		if times > 1 {
			r.Duplicated++
		}
	}
	r.Issued = len(u.runsByKey) - len(before.runsByKey)
}
