// Package errand carries out the calls on the object API that a host's membership
// asks for.
package storecall

import (
	"context"

	"github.com/pkg/errors"

	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// Get reads an object by read and returns what it answers.
func Get(ctx context.Context, read func(context.Context, string) (store.Object, error), a host.Get) (host.Event, error) {
	object, err := read(ctx, a.Key)
	switch {
	case err == nil:
		return host.Found{CallID: a.CallID, Version: object.Version, Value: object.Value}, nil
	case errors.Is(err, store.ErrNotFound):
		return host.Missing{CallID: a.CallID}, nil
	default:
		return failed(a.CallID, err), err
	}
}

// List reads all objects under a prefix and returns them.
func List(ctx context.Context, s store.Objects, a host.List) (host.Event, error) {
	var objects []host.Object
	after := ""
	for {
		page, err := s.List(ctx, a.Prefix, after)
		if err != nil {
			return failed(a.CallID, err), err
		}
		for _, o := range page.Objects {
			objects = append(objects, host.Object{Key: o.Key, Version: o.Version, Value: o.Value})
			after = o.Key
		}
		if !page.More {
			return host.Listed{CallID: a.CallID, Objects: objects}, nil
		}
	}
}

// Put creates or updates an object.
func Put(ctx context.Context, s store.Objects, a host.Put) (host.Event, error) {
	var object store.Object
	var err error
	if a.Version == 0 {
		object, err = s.Create(ctx, a.Key, a.Value)
	} else {
		object, err = s.Update(ctx, a.Key, a.Version, a.Value)
	}
	if err != nil {
		return failed(a.CallID, err), err
	}
	return host.Wrote{CallID: a.CallID, Version: object.Version}, nil
}

// Delete deletes an object.
func Delete(ctx context.Context, s store.Objects, a host.Delete) (host.Event, error) {
	if err := s.Delete(ctx, a.Key, a.Version); err != nil {
		return failed(a.CallID, err), err
	}
	return host.Deleted{CallID: a.CallID}, nil
}

func failed(call uint64, err error) host.Failed {
	cause := lease.Unknown
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		cause = lease.Conflict
	case errors.Is(err, store.ErrUnavailable):
		cause = lease.Unavailable
	}
	return host.Failed{CallID: call, Cause: cause}
}
