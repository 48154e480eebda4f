package command

import (
	"context"
	"strings"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// Prefixes of the objects that hosts write.
var (
	leasePrefix  = strings.TrimSuffix(lease.Prefix(""), "/")
	assignPrefix = host.Key("")
)

// A leaseObject is the lease object of one host.
type leaseObject struct {
	lease.Value
	version uint64 // version of the object
}

// leaseObjects reads the leases of all regions, sorted by region and name.
func leaseObjects(ctx context.Context, s store.Store) ([]leaseObject, error) {
	var out []leaseObject
	var decodeErr error
	_, err := archive.List(ctx, s, leasePrefix, "", func(o store.Object) {
		v, err := lease.Decode(o.Value)
		if err != nil {
			decodeErr = err
			return
		}
		out = append(out, leaseObject{Value: v, version: o.Version})
	})
	if err != nil {
		return nil, err
	}
	return out, decodeErr
}

// A regionTable is the assignment table of one region.
type regionTable struct {
	host.Table
	region string
}

// assignmentTables reads the assignment tables of all regions, sorted by region.
func assignmentTables(ctx context.Context, s store.Store) ([]regionTable, error) {
	var out []regionTable
	var decodeErr error
	_, err := archive.List(ctx, s, assignPrefix, "", func(o store.Object) {
		t, err := host.Decode(o.Value)
		if err != nil {
			decodeErr = err
			return
		}
		out = append(out, regionTable{Table: t, region: strings.TrimPrefix(o.Key, assignPrefix)})
	})
	if err != nil {
		return nil, err
	}
	return out, decodeErr
}

// listedStates returns the state of each entry of the given kind, host or target,
// in the platform's list.
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
