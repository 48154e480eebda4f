package command

import (
	"context"
	"strings"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// The prefixes of the objects that hosts keep.
var (
	leasePrefix  = strings.TrimSuffix(lease.Prefix(""), "/")
	assignPrefix = host.Key("")
)

// A leased is one host's lease object.
type leaseObject struct {
	lease.Value
	version uint64 // of the object
}

// leaseObjects returns the leases of all regions, sorted by region and name.
func leaseObjects(ctx context.Context, s store.Store) ([]leaseObject, error) {
	var out []leaseObject
	var fault error
	_, err := archive.List(ctx, s, leasePrefix, "", func(o store.Object) {
		v, err := lease.Decode(o.Value)
		if err != nil {
			fault = err
			return
		}
		out = append(out, leaseObject{Value: v, version: o.Version})
	})
	if err != nil {
		return nil, err
	}
	return out, fault
}

// A regional is the assignment table of one region.
type regionTable struct {
	host.Table
	region string
}

// assignmentTables returns the assignment tables, sorted by region.
func assignmentTables(ctx context.Context, s store.Store) ([]regionTable, error) {
	var out []regionTable
	var fault error
	_, err := archive.List(ctx, s, assignPrefix, "", func(o store.Object) {
		t, err := host.Decode(o.Value)
		if err != nil {
			fault = err
			return
		}
		out = append(out, regionTable{Table: t, region: strings.TrimPrefix(o.Key, assignPrefix)})
	})
	if err != nil {
		return nil, err
	}
	return out, fault
}

// listedStates returns the state of each host or target in the platform's list.
func listedStates(ctx context.Context, s store.Store, kind string) (map[string]string, error) {
	list, err := s.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, p := range list {
		if p.Kind == kind {
			out[p.Name] = p.State
		}
	}
	return out, nil
}
