// Package account defines client accounts: who a caller is, by the key that its requests carry,
// and what the account is entitled to.
//
// A Directory belongs to one version of the configuration and is immutable. It holds digests of
// keys, never the keys themselves.
package account

import "jacinthstage/stage/quota"

// A Key is the secret by which a caller proves its client account. It is printed as a fixed
// text, so that it reaches no log, metric or error.
type Key string

// String returns a text that doesn't depend on the key.
func (Key) String() string { return "(key)" }

// GoString returns a text that doesn't depend on the key.
func (Key) GoString() string { return "(key)" }

// MarshalText returns a text that doesn't depend on the key.
func (Key) MarshalText() ([]byte, error) { return []byte("(key)"), nil }

// An Account is a client account.
type Account struct {
	Name     string
	Ranked   bool        // Priority goes before that of the route
	Priority int         // 0 is the most urgent
	Limit    quota.Limit // of all its requests, over all hosts
}
