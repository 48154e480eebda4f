// Package text derives the tokens that the stand-in engines answer with, so
// that a caller can check each token against the adapter version it named.
package text

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker is the mark in a prompt that ends the runner's process.
const CrashMarker = "!crash"

// tagPrefix begins a prompt that carries a mark.
const tagPrefix = "mark "

// AddTag returns prompt with a mark, a word, in front, so that an engine can
// count how often the prompt ran.
func AddTag(mark, prompt string) string { return tagPrefix + mark + " " + prompt }

// TagOf returns the mark that prompt carries, empty where it has none.
func TagOf(prompt string) string {
	rest, ok := strings.CutPrefix(prompt, tagPrefix)
	if !ok {
		return ""
	}
	mark, _, _ := strings.Cut(rest, " ")
	return mark
}

// Token returns token index of the answer of model (name@version) to prompt.
func Token(model, prompt string, index int) string {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, prompt, strconv.Itoa(index)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return fmt.Sprintf("%08x ", uint32(d.Sum64()))
}

// Answer returns the first n tokens joined, which is a whole answer.
func Answer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}
