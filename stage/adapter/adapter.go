// Package adapter names fine-tuned adapters and their versions.
//
// A request names one adapter and one version of it, and only that one may
// answer. The two together are a Ref, written name@version.
package adapter

import (
	"regexp"

	"github.com/pkg/errors"
)

// A Ref names one version of one adapter. The zero value names none.
type Ref struct {
	Name    string
	Version string
}

// An Adapter is the configuration's entry for one adapter.
type Adapter struct {
	Name string `json:"name"`
	// Service is the name of the engine service whose targets run the adapter.
	Service string `json:"service"`
	// Versions are the versions that requests may name.
	Versions []string `json:"versions"`
}

var refForm = regexp.MustCompile(`^([a-z0-9][a-z0-9._-]{0,127})@([a-z0-9][a-z0-9._-]{0,63})$`)

// Parse reads name@version. It fails where either part is missing or malformed.
func Parse(text string) (Ref, error) {
	parts := refForm.FindStringSubmatch(text)
	if parts == nil {
		return Ref{}, errors.Errorf("adapter: %q is not name@version", text)
	}
	return Ref{Name: parts[1], Version: parts[2]}, nil
}

// String returns name@version.
func (r Ref) String() string { return r.Name + "@" + r.Version }

// MarshalText implements encoding.TextMarshaler.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Ref) UnmarshalText(text []byte) error {
	ref, err := Parse(string(text))
	if err != nil {
		return err
	}
	*r = ref
	return nil
}

// HasVersion reports whether the entry lists version.
func (a Adapter) HasVersion(version string) bool {
	for _, v := range a.Versions {
		if v == version {
			return true
		}
	}
	return false
}

// Validate returns what is wrong with the entry by itself, nil if nothing.
func (a Adapter) Validate() error {
	if len(a.Versions) == 0 {
		return errors.New("no versions")
	}
	seen := make(map[string]bool, len(a.Versions))
	for _, v := range a.Versions {
		if _, err := Parse(a.Name + "@" + v); err != nil {
			return errors.Errorf("%q is not name@version", a.Name+"@"+v)
		}
		if seen[v] {
			return errors.Errorf("version %s given twice", v)
		}
		seen[v] = true
	}
	return nil
}
