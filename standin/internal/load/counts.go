package load

import (
	"context"
	"net/netip"

	"jacinthstage/standin/internal/engine"
	"jacinthstage/standin/internal/registry"
)

// targetCounts holds the counts that were read from the targets at one time.
type targetCounts struct {
	engines    map[string]engine.Counts // by incarnation
	batchSlots map[string]int           // batch size, by incarnation
	runsByKey  map[string]int           // number of runs, by idempotency key
	// hasRegistries reports whether runsByKey was read.
	hasRegistries bool
}

// readCounts reads the counts of all engines and registries.
func (g *Generator) readCounts(ctx context.Context) (targetCounts, error) {
	u := targetCounts{engines: map[string]engine.Counts{}, batchSlots: map[string]int{}, runsByKey: map[string]int{}, hasRegistries: len(g.Registries) > 0}
	for _, address := range g.Runners {
		if err := g.readEngine(ctx, u, address); err != nil {
			return u, err
		}
	}
	for _, address := range g.Registries {
		var counts registry.Counts
		if err := g.getJSON(ctx, address, "/admin/counts", &counts); err != nil {
			return u, err
		}
		for key, n := range counts.RunsByKey {
			u.runsByKey[key] += n
		}
	}
	return u, nil
}

// readEngine adds the counts of one engine to u.
func (g *Generator) readEngine(ctx context.Context, u targetCounts, address netip.AddrPort) error {
	var counts engine.Counts
	if err := g.getJSON(ctx, address, "/admin/counts", &counts); err != nil {
		return err
	}
	var report engine.Report
	if err := g.getJSON(ctx, address, "/v1/report", &report); err != nil {
		return err
	}
	u.engines[counts.Incarnation] = counts
	u.batchSlots[counts.Incarnation] = report.BatchSlots
	return nil
}

// sameEngines reports whether no engine has restarted since before.
func (u targetCounts) sameEngines(before targetCounts) bool {
	for incarnation := range u.engines {
		if _, ok := before.engines[incarnation]; !ok {
			return false
		}
	}
	return true
}

// addDelta adds what the targets counted since before to r.
func (u targetCounts) addDelta(r *Report, before targetCounts) {
	used, available := 0, 0
	for incarnation, now := range u.engines {
		then := before.engines[incarnation]
		r.Loads += now.Loads - then.Loads
		r.EvictedInUse += now.EvictedInUse - then.EvictedInUse
		used += now.BatchSlotsUsed - then.BatchSlotsUsed
		available += (now.Steps - then.Steps) * u.batchSlots[incarnation]
	}
	if available > 0 {
		r.BatchFill = float64(used) / float64(available)
	}
	for _, n := range u.runsByKey {
		if n > 1 {
			r.Duplicated++
		}
	}
	r.Issued = len(u.runsByKey) - len(before.runsByKey)
}
