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

// maxPart is the largest part of a snapshot, in bytes: under the object API's
// limit of a mebibyte for one value.
const maxPart = 900 << 10

// A Snapshot is a whole configuration in parts. Equal configurations have
// equal snapshots, so that two hosts that write the same one don't clash.
type Snapshot struct {
	Manifest []byte
	Parts    [][]byte
}

// A manifest says which parts make up a snapshot.
type manifest struct {
	Version uint64   `json:"version"`
	Hashes  [][]byte `json:"hashes"` // SHA-256 of each part
}

// Snapshot returns the configuration's snapshot. It fails where one entry
// alone is larger than a part.
func (c *Config) Snapshot() (Snapshot, error) {
	var b builder
	if err := c.entries(b.add); err != nil {
		return Snapshot{}, err
	}
	b.cut()
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

// Changes returns the changes that make the configuration from an empty one,
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

// entries calls add with each entry, in one order for equal configurations.
func (c *Config) entries(add func(entry) error) error {
	return firstError(
		each(c.Services, add, func(e *entry, v *service.Service) { e.Service = v }),
		each(c.Adapters, add, func(e *entry, v *adapter.Adapter) { e.Adapter = v }),
		each(c.Callers, add, func(e *entry, v *caller.Caller) { e.Caller = v }),
		each(c.Rules, add, func(e *entry, v *rule.Rule) { e.Rule = v }),
		each(c.Targets, add, func(e *entry, v *target.Target) { e.Target = v }),
	)
}

// firstError runs the steps until one fails.
func firstError(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func each[V any](entries map[string]V, add func(entry) error, set func(*entry, *V)) func() error {
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

// A builder cuts a sequence of encoded entries into parts. A part is a CBOR sequence.
type builder struct {
	part  bytes.Buffer
	parts [][]byte
}

func (b *builder) add(e entry) error {
	data, err := encoder.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "patch: entry")
	}
	if len(data) > maxPart {
		return errors.Errorf("patch: entry of %d bytes, more than %d", len(data), maxPart)
	}
	if b.part.Len()+len(data) > maxPart {
		b.cut()
	}
	b.part.Write(data)
	return nil
}

// cut ends the current part.
func (b *builder) cut() {
	if b.part.Len() == 0 {
		return
	}
	b.parts = append(b.parts, bytes.Clone(b.part.Bytes()))
	b.part.Reset()
}

// ParseManifest returns the version and the number of parts that a manifest names.
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

// Config returns the configuration of the snapshot. It fails where a part is
// missing, differs from the manifest, or the entries don't fit together.
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
			return nil, errors.Errorf("patch: part %d of snapshot %d differs from its manifest", i, m.Version)
		}
		if err := d.load(part); err != nil {
			return nil, errors.WithMessagef(err, "patch: part %d of snapshot %d", i, m.Version)
		}
	}
	if err := d.check(); err != nil {
		return nil, errors.WithMessagef(err, "patch: snapshot %d", m.Version)
	}
	return d.next, nil
}

// load applies each entry of a part.
func (d *draft) load(part []byte) error {
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
