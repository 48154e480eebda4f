package dispatch_test

import (
	"slices"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
)

// A heldAdapter is an adapter on a fake runner.
type heldAdapter struct {
	version   int // 0 until it is loaded
	next, due int // version that is loaded, and when it will be there; due is 0 while runs of the old version last
	unloading bool
}

// takes reports whether new requests for the adapter may run.
func (h *heldAdapter) takes() bool { return h != nil && h.version > 0 && h.next == 0 && !h.unloading }

// A versionRunner is a fake runner.
type versionRunner struct {
	index, started int
	orders, fence  uint64
	adapters       map[string]*heldAdapter
	requests       []*versionRequest // that run or wait
}

func (r *versionRunner) uses(adapter string) bool {
	return slices.ContainsFunc(r.requests, func(q *versionRequest) bool { return q.adapter == adapter })
}

func (r *versionRunner) entry() catalog.Target {
	e := runner(r.index, "north-a")
	e.Started = at(r.started)
	for name, h := range r.adapters {
		if h.takes() {
			e.Models[model].Adapters[name] = h.version
		}
	}
	return e
}

func (r *versionRunner) report() *call.Report {
	resident := call.ResidentModel{Model: model, Version: 1}
	report := &call.Report{AcceptedOrders: r.orders}
	for name, h := range r.adapters {
		if h.version > 0 {
			resident.Adapters = append(resident.Adapters, call.AdapterVersion{Model: model, Name: name, Version: h.version})
		}
		if h.next > 0 {
			report.Loading = append(report.Loading, call.AdapterVersion{Model: model, Name: name, Version: h.next})
		}
	}
	report.Models = []call.ResidentModel{resident}
	return report
}

// execute carries out an order.
func (r *versionRunner) execute(p *versionPlay, o call.Order) call.Reply {
	replaces := func(h *heldAdapter) bool { return h.version > 0 && h.next > 0 }
	h := r.adapters[o.Adapter]
	version := o.Version
	if version == 0 {
		version = p.newest(o.Adapter)
	}
	switch {
	case o.Fence < r.fence:
		return call.Fenced
	case o.AcceptedOrders != r.orders:
		return call.Conflict
	case o.Kind == call.Load && h != nil && h.next == version:
		return call.Accepted
	case o.Kind == call.Load && h.takes() && h.version == version, o.Kind == call.Unload && h == nil:
		return call.Applied
	case h != nil && !h.takes():
		return call.Conflict
	}
	for _, other := range r.adapters {
		if replaces(other) {
			return call.Conflict
		}
	}
	if o.Kind == call.Load && h == nil && len(r.adapters) >= 2 {
		return call.Conflict
	}
	r.fence = o.Fence
	r.orders++
	switch {
	case o.Kind == call.Unload && !r.uses(o.Adapter):
		delete(r.adapters, o.Adapter)
		return call.Applied
	case o.Kind == call.Unload:
		h.unloading = true
	case h == nil:
		r.adapters[o.Adapter] = &heldAdapter{next: version, due: p.ms + p.Load}
	default:
		h.next = version
	}
	return call.Accepted
}

// advance completes runs and loads, and begins the requests whose wait has ended.
func (r *versionRunner) advance(p *versionPlay) {
	for _, q := range slices.Clone(r.requests) {
		switch {
		case q.begun && p.ms >= q.due:
			r.drop(q)
			p.served++
			q.end(p, dispatch.Completed{})
		case !q.begun && p.ms >= q.due:
			p.begin(q, r.adapters[q.adapter].version)
		}
	}
	for name, h := range r.adapters {
		switch {
		case h.unloading && !r.uses(name):
			delete(r.adapters, name)
		case h.next > 0 && h.due == 0 && !r.uses(name):
			h.due = p.ms + p.Load
		case h.next > 0 && h.due > 0 && p.ms >= h.due:
			*h = heldAdapter{version: h.next}
		}
	}
}

func (r *versionRunner) drop(q *versionRequest) {
	r.requests = slices.DeleteFunc(r.requests, func(other *versionRequest) bool { return other == q })
}
