// Package caller holds the configuration's entries for callers: who they are,
// how they prove it, and their share when capacity is short.
package caller

// A Caller is one user of the caller API.
type Caller struct {
	Name string `json:"name"`
	// Tokens are the hex SHA-256 hashes of the bearer tokens that name this
	// caller. The tokens themselves stand nowhere in the configuration.
	Tokens []string `json:"tokens"`
	// Weight is the caller's part when capacity is short, relative to the
	// others; 0 counts as 1.
	Weight int `json:"weight,omitempty"`
	// Priority orders a caller's requests before others: a larger number first.
	Priority int `json:"priority,omitempty"`
}
