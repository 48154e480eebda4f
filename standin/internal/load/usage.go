package load

import (
	"context"
	"net/netip"

	"jacinthstage/standin/internal/engine"
	"jacinthstage/standin/internal/registry"
)

// A usage is what the targets counted up to some time.
type usage struct {
	engines map[string]engine.Counts // by incarnation
	places  map[string]int           // size of the batch, by incarnation
	calls   map[string]int           // times that each key ran
	// registries says that calls were read.
	registries bool
}

func (t *Tool) usage(ctx context.Context) (usage, error) {
	u := usage{engines: map[string]engine.Counts{}, places: map[string]int{}, calls: map[string]int{}, registries: len(t.Registries) > 0}
	for _, address := range t.Runners {
		if err := t.engine(ctx, u, address); err != nil {
			return u, err
		}
	}
	for _, address := range t.Registries {
		var counts registry.Counts
		if err := t.read(ctx, address, "/admin/counts", &counts); err != nil {
			return u, err
		}
		for key, times := range counts.Calls {
			u.calls[key] += times
		}
	}
	return u, nil
}

func (t *Tool) engine(ctx context.Context, u usage, address netip.AddrPort) error {
	var counts engine.Counts
	if err := t.read(ctx, address, "/admin/counts", &counts); err != nil {
		return err
	}
	var report engine.Report
	if err := t.read(ctx, address, "/v1/report", &report); err != nil {
		return err
	}
	u.engines[counts.Incarnation] = counts
	u.places[counts.Incarnation] = report.Places
	return nil
}

// same reports whether the engines are the ones that they were before.
func (u usage) same(before usage) bool {
	for name := range u.engines {
		if _, ok := before.engines[name]; !ok {
			return false
		}
	}
	return true
}

// add puts what the targets counted since before into r.
func (u usage) add(r *Report, before usage) {
	filled, places := 0, 0
	for name, now := range u.engines {
		then := before.engines[name]
		r.Loads += now.Loads - then.Loads
		r.Evicted += now.Evicted - then.Evicted
		filled += now.Filled - then.Filled
		places += (now.Steps - then.Steps) * u.places[name]
	}
	if places > 0 {
		r.Fill = float64(filled) / float64(places)
	}
	for _, times := range u.calls {
		if times > 1 {
			r.Doubled++
		}
	}
	r.Issued = len(u.calls) - len(before.calls)
}
