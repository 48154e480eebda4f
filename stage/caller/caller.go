// Package caller holds the configuration's entries for callers: who they are,
// how they prove it, and their share when capacity is short.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"

	"github.com/pkg/errors"
)

const (
	// MaxWeight is the largest weight of a caller.
	MaxWeight = 1000
	// MaxPriority is the largest priority of a caller; the least is its negative.
	MaxPriority = 100
	// MaxTokens is the largest number of tokens of one caller.
	MaxTokens = 16
)

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

// A Hash is the SHA-256 hash of a bearer token.
type TokenHash [sha256.Size]byte

var form = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// HashToken returns the hash of a bearer token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// ParseTokenHash reads a hash as it stands in Tokens: 64 lower-case hex digits.
func ParseTokenHash(text string) (TokenHash, error) {
	var h TokenHash
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(h) || hex.EncodeToString(raw) != text {
		return h, errors.Errorf("%.80q is not a SHA-256 hash in lower-case hex", text)
	}
	copy(h[:], raw)
	return h, nil
}

// Validate returns what is wrong with the entry by itself, nil if nothing.
func (c Caller) Validate() error {
	if !form.MatchString(c.Name) {
		return errors.Errorf("malformed name %.200q", c.Name)
	}
	if len(c.Tokens) > MaxTokens {
		return errors.Errorf("%d tokens, more than %d", len(c.Tokens), MaxTokens)
	}
	if c.Weight < 0 || c.Weight > MaxWeight {
		return errors.Errorf("weight %d is out of range 0 to %d", c.Weight, MaxWeight)
	}
	if c.Priority < -MaxPriority || c.Priority > MaxPriority {
		return errors.Errorf("priority %d is out of range %d to %d", c.Priority, -MaxPriority, MaxPriority)
	}
	for _, t := range c.Tokens {
		if _, err := ParseTokenHash(t); err != nil {
			return errors.WithMessage(err, "token")
		}
	}
	return nil
}
