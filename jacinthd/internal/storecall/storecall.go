// Package storecall makes the calls to the object API that a host's membership
// requests, and converts their results to events of the membership. Each function
// also returns the error of a failed call, for logging.
package storecall

import (
	"context"

	"github.com/pkg/errors"

	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// Get reads an object with the function read.
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

// List reads all objects whose keys start with the prefix of a, page by page.
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

// Put updates an object at a version, or creates it if the version of a is 0.
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

// Delete deletes an object at a version.
func Delete(ctx context.Context, s store.Objects, a host.Delete) (host.Event, error) {
	if err := s.Delete(ctx, a.Key, a.Version); err != nil {
		return failed(a.CallID, err), err
	}
	return host.Deleted{CallID: a.CallID}, nil
}

// failed returns the event for a call that failed with err. An error of any other
// kind has the cause Unknown: the call may have taken effect.
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
