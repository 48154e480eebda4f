// Package archive keeps the numbered configuration as objects of the object
// API: patches, which are never changed and are the audit trail, and snapshots.
//
//	patch/NUMBER      one accepted patch
//	snapshot/NUMBER   the manifest of the snapshot of version NUMBER
//	part/NUMBER/PART  one part of that snapshot
//
// Numbers have twenty digits, so that keys sort by number. Parts have a prefix
// of their own, so that listing the manifests reads no parts. A manifest is
// created after its parts; a snapshot without manifest doesn't exist.
package archive

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

// The prefixes of keys.
const (
	PatchPrefix    = "patch/"
	SnapshotPrefix = "snapshot/"
	parts          = "part/"
)

// kept is the number of snapshots that Save leaves.
const kept = 2

// PatchKey returns the key of patch number.
func PatchKey(number uint64) string { return fmt.Sprintf("%s%020d", PatchPrefix, number) }

func manifestKey(version uint64) string { return fmt.Sprintf("%s%020d", SnapshotPrefix, version) }

func partKey(version uint64, part int) string {
	return fmt.Sprintf("%s%020d/%03d", parts, version, part)
}

// ParseNumber returns the number in a key under prefix, false where it has none.
func ParseNumber(prefix, key string) (uint64, bool) {
	digits, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil && len(digits) == len("00000000000000000000")
}

// List calls found with each object under prefix whose key sorts behind after.
// It returns the store's revision from which a watch misses nothing.
func List(ctx context.Context, s store.Store, prefix, after string, found func(store.Object)) (uint64, error) {
	first := true
	var revision uint64
	for {
		page, err := s.List(ctx, prefix, after)
		if err != nil {
			return 0, err
		}
		if first {
			first, revision = false, page.Revision
		}
		for _, o := range page.Objects {
			found(o)
			after = o.Key
		}
		if !page.More || len(page.Objects) == 0 {
			return revision, nil
		}
	}
}

// PatchesAfter calls found with each accepted patch behind number after, in order,
// and returns the store's revision from which a watch misses nothing.
func PatchesAfter(ctx context.Context, s store.Store, after uint64, found func(patch.StoredPatch)) (uint64, error) {
	return List(ctx, s, PatchPrefix, PatchKey(after), func(o store.Object) {
		if number, ok := ParseNumber(PatchPrefix, o.Key); ok {
			found(patch.StoredPatch{Number: number, Data: o.Value})
		}
	})
}

// LatestSnapshot returns the configuration of the newest snapshot that is whole, nil
// where there is none.
func LatestSnapshot(ctx context.Context, s store.Store) (*patch.Config, error) {
	manifests, err := manifests(ctx, s)
	if err != nil {
		return nil, err
	}
	for i := len(manifests) - 1; i >= 0; i-- {
		config, err := load(ctx, s, manifests[i])
		if err != nil {
			return nil, err
		}
		if config != nil {
			return config, nil
		}
	}
	return nil, nil
}

// manifests returns the manifests, oldest first.
func manifests(ctx context.Context, s store.Store) ([]store.Object, error) {
	var found []store.Object
	_, err := List(ctx, s, SnapshotPrefix, "", func(o store.Object) { found = append(found, o) })
	return found, err
}

// load reads one snapshot. It returns nil where a part is missing or damaged:
// an older snapshot serves as well, with more patches behind it.
func load(ctx context.Context, s store.Store, m store.Object) (*patch.Config, error) {
	version, count, err := patch.ParseManifest(m.Value)
	if err != nil || m.Key != manifestKey(version) {
		return nil, nil
	}
	snapshot := patch.Snapshot{Manifest: m.Value}
	for i := range count {
		part, err := s.Get(ctx, partKey(version, i))
		if errors.Is(err, store.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		snapshot.Parts = append(snapshot.Parts, part.Value)
	}
	config, err := snapshot.Config()
	if err != nil {
		return nil, nil
	}
	return config, nil
}

// Read returns the newest configuration.
func Read(ctx context.Context, s store.Store) (*patch.Config, error) {
	config, err := LatestSnapshot(ctx, s)
	if err != nil {
		return nil, err
	}
	if config == nil {
		config = &patch.Config{}
	}
	var gap error
	_, err = PatchesAfter(ctx, s, config.Version, func(a patch.StoredPatch) {
		// The error is that of a patch which changes nothing; only a gap leaves no configuration.
		next, err := config.ApplyStored(a)
		if next == nil {
			gap = err
			return
		}
		config = next
	})
	if err == nil {
		err = gap
	}
	return config, err
}

// SaveSnapshot writes the configuration's snapshot unless it exists, and deletes
// snapshots that newer ones replace.
func SaveSnapshot(ctx context.Context, s store.Store, config *patch.Config) error {
	_, err := s.Get(ctx, manifestKey(config.Version))
	if err == nil || !errors.Is(err, store.ErrNotFound) {
		return err
	}
	snapshot, err := config.Snapshot()
	if err != nil {
		return err
	}
	for i, part := range snapshot.Parts {
		if err := create(ctx, s, partKey(config.Version, i), part); err != nil {
			return err
		}
	}
	if err := create(ctx, s, manifestKey(config.Version), snapshot.Manifest); err != nil {
		return err
	}
	prune(ctx, s)
	return nil
}

// create creates an object that another host may create with the same value.
func create(ctx context.Context, s store.Store, key string, value []byte) error {
	_, err := s.Create(ctx, key, value)
	if err == nil {
		return nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
		return err
	}
	o, read := s.Get(ctx, key)
	switch {
	case read != nil:
		return err
	case !bytes.Equal(o.Value, value):
		return errors.Wrapf(err, "archive: %s holds another value", key)
	default:
		return nil
	}
}

// prune deletes all but the newest snapshots. What fails is left to the next
// Save: the manifest goes last, since it says how many parts there are.
func prune(ctx context.Context, s store.Store) {
	found, err := manifests(ctx, s)
	for err == nil && len(found) > kept {
		err = drop(ctx, s, found[0])
		found = found[1:]
	}
}

func drop(ctx context.Context, s store.Store, m store.Object) error {
	version, count, err := patch.ParseManifest(m.Value)
	if err != nil {
		return err
	}
	for i := range count {
		key := partKey(version, i)
		o, err := s.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := s.Delete(ctx, key, o.Version); err != nil {
			return err
		}
	}
	return s.Delete(ctx, m.Key, m.Version)
}
