// Package verdict says whether a request may have run.
//
// Every outcome of a request carries a Verdict. NotRun is a promise: the
// request did not run and will not run. Only a request with that verdict, or
// an idempotent one whose caller has received no byte yet, may be retried.
// The zero value is MayHaveRun, the one that promises nothing.
package verdict

import "github.com/pkg/errors"

// A Verdict says whether a request may have run on a target.
type Verdict uint8

const (
	// MayHaveRun promises nothing: the request was sent and its fate is unknown.
	MayHaveRun Verdict = iota
	// NotRun promises that the request did not run and will not.
	NotRun
	// Ran says that the request ran.
	Ran
)

var names = map[Verdict]string{MayHaveRun: "mayhaverun", NotRun: "notrun", Ran: "ran"}

// String returns the name that callers see: mayhaverun, notrun or ran.
func (v Verdict) String() string { return names[v] }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It fails on a name that
// is none of the three.
func (v *Verdict) UnmarshalText(text []byte) error {
	for verdict, name := range names {
		if name == string(text) {
			*v = verdict
			return nil
		}
	}
	return errors.Errorf("verdict: unknown name %q", text)
}
