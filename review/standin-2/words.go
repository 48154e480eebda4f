package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// The words of the users' pages stand in files of their own: sources of this repository outside of
// its translating folder hold none.

//go:embed words.txt
var wordList string

//go:embed config.json
var config string

//go:embed settings.txt
var settings string

// words are the headers, paths and fields of the platform by what they mean.
var words = func() map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(wordList) {
		key, word, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[key] = word
	}
	return out
}()

// rawConfig returns the configuration as the operator writes it.
func rawConfig() json.RawMessage { return json.RawMessage(config) }
