// Package archive stores the versions of the configuration as objects of the
// object API. Patches are immutable and form the audit trail; snapshots shorten
// the reading of the newest configuration.
//
//	patch/NUMBER      one accepted patch
//	snapshot/NUMBER   the manifest of the snapshot of version NUMBER
//	part/NUMBER/PART  one part of that snapshot
//
// Numbers have twenty digits, so that keys sort by number. Parts have their own
// prefix, so that listing the manifests reads no parts. A manifest is created
// after its parts: a snapshot exists only if its manifest does.
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

// Prefixes of object keys.
const (
	PatchPrefix    = "patch/"
	SnapshotPrefix = "snapshot/"
	partPrefix     = "part/"
)

// keptSnapshots is the number of newest snapshots that SaveSnapshot retains.
const keptSnapshots = 2

// PatchKey returns the key of the patch with the given number.
func PatchKey(number uint64) string { return fmt.Sprintf("%s%020d", PatchPrefix, number) }

func manifestKey(version uint64) string { return fmt.Sprintf("%s%020d", SnapshotPrefix, version) }

func partKey(version uint64, part int) string {
	return fmt.Sprintf("%s%020d/%03d", partPrefix, version, part)
}

// ParseNumber returns the number in a key under prefix. It reports false if the
// key has another prefix or no number of twenty digits.
func ParseNumber(prefix, key string) (uint64, bool) {
	digits, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil && len(digits) == len("00000000000000000000")
}

// List calls visit for each object under prefix whose key sorts after the given
// key. It returns the store's revision from the first page: a watch from there
// misses no change.
func List(ctx context.Context, s store.Store, prefix, after string, visit func(store.Object)) (uint64, error) {
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
			visit(o)
			after = o.Key
		}
		if !page.More || len(page.Objects) == 0 {
			return revision, nil
		}
	}
}

// PatchesAfter calls visit for each accepted patch with a number greater than
// after, in order. It returns a revision from which a watch misses no change.
func PatchesAfter(ctx context.Context, s store.Store, after uint64, visit func(patch.StoredPatch)) (uint64, error) {
	return List(ctx, s, PatchPrefix, PatchKey(after), func(o store.Object) {
		if number, ok := ParseNumber(PatchPrefix, o.Key); ok {
			visit(patch.StoredPatch{Number: number, Data: o.Value})
		}
	})
}

// LatestSnapshot returns the configuration of the newest complete snapshot, or
// nil if there is none.
func LatestSnapshot(ctx context.Context, s store.Store) (*patch.Config, error) {
	manifests, err := listManifests(ctx, s)
	if err != nil {
		return nil, err
	}
	for i := len(manifests) - 1; i >= 0; i-- {
		config, err := loadSnapshot(ctx, s, manifests[i])
		if err != nil {
			return nil, err
		}
		if config != nil {
			return config, nil
		}
	}
	return nil, nil
}

// listManifests returns the manifests of all snapshots, oldest first.
func listManifests(ctx context.Context, s store.Store) ([]store.Object, error) {
	var objects []store.Object
	_, err := List(ctx, s, SnapshotPrefix, "", func(o store.Object) { objects = append(objects, o) })
	return objects, err
}

// loadSnapshot reads the snapshot with the manifest m. It returns nil without an
// error if the manifest or a part is missing or damaged: an older snapshot with
// more patches applied gives the same configuration.
func loadSnapshot(ctx context.Context, s store.Store, m store.Object) (*patch.Config, error) {
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

// Read returns the newest configuration: the latest snapshot with all later
// patches applied.
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
		// For a patch that doesn't apply, Accept returns an error and a configuration
		// with only the version advanced. It returns no configuration only for a gap
		// in the numbers.
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

// SaveSnapshot writes the snapshot of the configuration unless it exists, and
// deletes old snapshots.
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
		if err := createShared(ctx, s, partKey(config.Version, i), part); err != nil {
			return err
		}
	}
	if err := createShared(ctx, s, manifestKey(config.Version), snapshot.Manifest); err != nil {
		return err
	}
	pruneSnapshots(ctx, s)
	return nil
}

// createShared creates an object that other hosts may create concurrently. It
// succeeds if the object already exists with the same value.
func createShared(ctx context.Context, s store.Store, key string, value []byte) error {
	_, err := s.Create(ctx, key, value)
	if err == nil {
		return nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
		return err
	}
	o, getErr := s.Get(ctx, key)
	switch {
	case getErr != nil:
		return err
	case !bytes.Equal(o.Value, value):
		return errors.Wrapf(err, "archive: %s has another value", key)
	default:
		return nil
	}
}

// pruneSnapshots deletes all but the newest snapshots. It stops at the first
// failure; the next SaveSnapshot continues.
func pruneSnapshots(ctx context.Context, s store.Store) {
	snapshots, err := listManifests(ctx, s)
	for err == nil && len(snapshots) > keptSnapshots {
		err = deleteSnapshot(ctx, s, snapshots[0])
		snapshots = snapshots[1:]
	}
}

// deleteSnapshot deletes the snapshot with the manifest m. The manifest is
// deleted last: it holds the number of parts, which a repeated call needs.
func deleteSnapshot(ctx context.Context, s store.Store, m store.Object) error {
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
