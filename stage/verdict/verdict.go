// Package verdict reports whether a request may have run.
//
// Every outcome of a request carries a Verdict. NotRun guarantees that the
// request did not run and will not run. Only a request with that verdict, or an
// idempotent request whose caller has received no byte yet, may be retried. The
// zero value is MayHaveRun, which guarantees nothing.
package verdict

import "github.com/pkg/errors"

// A Verdict reports whether a request may have run on a target.
type Verdict uint8

const (
	// MayHaveRun guarantees nothing. The request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun guarantees that the request did not run and will not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

var names = map[Verdict]string{MayHaveRun: "mayhaverun", NotRun: "notrun", Ran: "ran"}

// String returns the name that callers see: mayhaverun, notrun or ran.
func (v Verdict) String() string { return names[v] }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for verdict, name := range names {
		if name == string(text) {
			*v = verdict
			return nil
		}
	}
	return errors.Errorf("verdict: unknown verdict %q", text)
}
