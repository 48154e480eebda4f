package main

import (
	"embed"
	"encoding/json"
)

// The names of the wire and the configurations stand in files of their own: the project's own
// sources don't hold them outside the folder that translates.
//
//go:embed *.json
var files embed.FS

var names = func() map[string]string {
	text, err := files.ReadFile("names.json")
	check(err)
	out := make(map[string]string)
	check(json.Unmarshal(text, &out))
	return out
}()

// wire returns the name on the wire of what this program calls name.
func wire(name string) string {
	out, ok := names[name]
	if !ok {
		panic("no name on the wire: " + name)
	}
	return out
}

// config returns a configuration of the operator.
func config(name string) json.RawMessage {
	text, err := files.ReadFile(name + ".json")
	check(err)
	return text
}
