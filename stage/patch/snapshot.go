package patch

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// maxPartBytes is the maximum size of one part of a snapshot, in bytes. It is below
// the object API's limit of 1 MiB for a value.
const maxPartBytes = 900 << 10

// Snapshot is a whole configuration, encoded and split into parts. Equal
// configurations have equal snapshots, so that two hosts that write the snapshot of
// the same version don't conflict.
type Snapshot struct {
	Manifest []byte
	Parts    [][]byte
}

// manifest lists the parts that make up a snapshot.
type manifest struct {
	Version uint64   `json:"version"`
	Hashes  [][]byte `json:"hashes"` // SHA-256 of each part
}

// Snapshot returns the snapshot of the configuration. It fails if a single entry
// is larger than maxPartBytes.
func (c *Config) Snapshot() (Snapshot, error) {
	var b partBuilder
	if err := c.entries(b.add); err != nil {
		return Snapshot{}, err
	}
	b.flush()
	m := manifest{Version: c.Version}
	for _, part := range b.parts {
		hash := sha256.Sum256(part)
		m.Hashes = append(m.Hashes, hash[:])
	}
	data, err := encoder.Marshal(m)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "patch: manifest")
	}
	return Snapshot{Manifest: data, Parts: b.parts}, nil
}

// Changes returns the changes that turn an empty configuration into this one,
// services first.
func (c *Config) Changes() ([]Change, error) {
	var out []Change
	err := c.entries(func(e entry) error {
		change, err := record{Put: &e}.change()
		out = append(out, change)
		return err
	})
	return out, err
}

// entries calls add with each entry. The order is the same for equal
// configurations.
func (c *Config) entries(add func(entry) error) error {
	return firstError(
		eachSorted(c.Services, add, func(e *entry, v *service.Service) { e.Service = v }),
		eachSorted(c.Adapters, add, func(e *entry, v *adapter.Adapter) { e.Adapter = v }),
		eachSorted(c.Callers, add, func(e *entry, v *caller.Caller) { e.Caller = v }),
		eachSorted(c.Rules, add, func(e *entry, v *rule.Rule) { e.Rule = v }),
		eachSorted(c.Targets, add, func(e *entry, v *target.Target) { e.Target = v }),
	)
}

// firstError runs the steps in order and returns the error of the first one that
// fails.
func firstError(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// eachSorted returns a function that calls add with a record for each entry, sorted
// by name. The argument set stores the entry in the record.
func eachSorted[V any](entries map[string]V, add func(entry) error, set func(*entry, *V)) func() error {
	return func() error {
		for _, name := range slices.Sorted(maps.Keys(entries)) {
			v := entries[name]
			var e entry
			set(&e, &v)
			if err := add(e); err != nil {
				return err
			}
		}
		return nil
	}
}

// partBuilder splits a sequence of encoded entries into parts of at most
// maxPartBytes. Each part is a CBOR sequence.
type partBuilder struct {
	part  bytes.Buffer
	parts [][]byte
}

func (b *partBuilder) add(e entry) error {
	data, err := encoder.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "patch: entry")
	}
	if len(data) > maxPartBytes {
		return errors.Errorf("patch: entry of %d bytes, more than %d", len(data), maxPartBytes)
	}
	if b.part.Len()+len(data) > maxPartBytes {
		b.flush()
	}
	b.part.Write(data)
	return nil
}

// flush ends the current part unless it is empty.
func (b *partBuilder) flush() {
	if b.part.Len() == 0 {
		return
	}
	b.parts = append(b.parts, bytes.Clone(b.part.Bytes()))
	b.part.Reset()
}

// ParseManifest returns the version and the number of parts from an encoded
// manifest.
func ParseManifest(data []byte) (version uint64, parts int, err error) {
	m, err := readManifest(data)
	return m.Version, len(m.Hashes), err
}

func readManifest(data []byte) (manifest, error) {
	var m manifest
	if err := decoder.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "patch: manifest")
	}
	return m, nil
}

// Config decodes and checks the configuration. It fails if a part is missing or
// doesn't match its hash in the manifest, or if the entries are inconsistent.
func (s Snapshot) Config() (*Config, error) {
	m, err := readManifest(s.Manifest)
	if err != nil {
		return nil, err
	}
	if len(m.Hashes) != len(s.Parts) {
		return nil, errors.Errorf("patch: snapshot %d has %d parts of %d", m.Version, len(s.Parts), len(m.Hashes))
	}
	d := newDraft(&Config{}, m.Version)
	for i, part := range s.Parts {
		hash := sha256.Sum256(part)
		if !bytes.Equal(hash[:], m.Hashes[i]) {
			return nil, errors.Errorf("patch: part %d of snapshot %d doesn't match its hash in the manifest", i, m.Version)
		}
		if err := d.applyPart(part); err != nil {
			return nil, errors.WithMessagef(err, "patch: part %d of snapshot %d", i, m.Version)
		}
	}
	if err := d.validate(); err != nil {
		return nil, errors.WithMessagef(err, "patch: snapshot %d", m.Version)
	}
	return d.next, nil
}

// applyPart puts each entry of a part into the draft.
func (d *draft) applyPart(part []byte) error {
	for len(part) > 0 {
		var e entry
		rest, err := decoder.UnmarshalFirst(part, &e)
		if err != nil {
			return err
		}
		part = rest
		change, err := record{Put: &e}.change()
		if err != nil {
			return err
		}
		if err := d.apply(change); err != nil {
			return err
		}
	}
	return nil
}
