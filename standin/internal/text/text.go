// Package text computes the tokens that the stand-in engines generate, so that a
// caller can check each token against the adapter version that it requested.
package text

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker in a prompt makes the runner's process exit.
const CrashMarker = "!crash"

// tagPrefix is the start of a prompt that carries a tag.
const tagPrefix = "mark "

// AddTag returns prompt preceded by a tag, which must be a single word. Engines
// count how often a tagged prompt runs.
func AddTag(tag, prompt string) string { return tagPrefix + tag + " " + prompt }

// TagOf returns the tag of prompt, or the empty string if it has none.
func TagOf(prompt string) string {
	rest, ok := strings.CutPrefix(prompt, tagPrefix)
	if !ok {
		return ""
	}
	tag, _, _ := strings.Cut(rest, " ")
	return tag
}

// Token returns the token at index of the answer of model (name@version) to
// prompt.
func Token(model, prompt string, index int) string {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, prompt, strconv.Itoa(index)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return fmt.Sprintf("%08x ", uint32(d.Sum64()))
}

// Answer returns the complete answer of n tokens.
func Answer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}
