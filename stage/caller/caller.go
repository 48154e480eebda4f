// Package caller defines the configuration entries for callers: their names, their
// credentials, and their share and priority when capacity is short.
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
	// MaxPriority is the largest priority of a caller. The smallest is -MaxPriority.
	MaxPriority = 100
	// MaxTokens is the maximum number of tokens of one caller.
	MaxTokens = 16
)

// Caller is the configuration entry for one user of the caller API.
type Caller struct {
	Name string `json:"name"`
	// Tokens are the SHA-256 hashes, in hex, of the bearer tokens that identify
	// this caller. The configuration doesn't contain the tokens themselves.
	Tokens []string `json:"tokens"`
	// Weight is the caller's share when capacity is short, relative to the
	// weights of other callers. 0 counts as 1.
	Weight int `json:"weight,omitempty"`
	// Priority orders the requests of different callers. Those of the caller
	// with the larger number go first.
	Priority int `json:"priority,omitempty"`
}

// TokenHash is the SHA-256 hash of a bearer token.
type TokenHash [sha256.Size]byte

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// HashToken returns the hash of a bearer token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// ParseTokenHash parses a hash in the form used in Caller.Tokens, 64 lower-case hex
// digits.
func ParseTokenHash(text string) (TokenHash, error) {
	var h TokenHash
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(h) || hex.EncodeToString(raw) != text {
		return h, errors.Errorf("%.80q is not a SHA-256 hash in lower-case hex", text)
	}
	copy(h[:], raw)
	return h, nil
}

// Validate checks the entry by itself, without the entries that it refers to.
func (c Caller) Validate() error {
	if !namePattern.MatchString(c.Name) {
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
	for _, token := range c.Tokens {
		if _, err := ParseTokenHash(token); err != nil {
			return errors.WithMessage(err, "token")
		}
	}
	return nil
}
