package main

import (
	"bytes"
	_ "embed"
	"strings"
	"text/template"
)

//go:embed wire.txt
var wireText string

//go:embed config.json
var configText string

//go:embed entry.json
var entryText string

//go:embed report.json
var reportText string

// wire maps the stand-ins' names to those of the wire protocol.
var wire = parseWire(wireText)

var (
	entryTemplate  = template.Must(template.New("entry").Parse(entryText))
	reportTemplate = template.Must(template.New("report").Parse(reportText))
)

func parseWire(text string) map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " = ")
		if ok && !strings.HasPrefix(name, "#") {
			out[name] = value
		}
	}
	return out
}

// render returns the text of a template, which can't fail for the types that are passed here.
func render(t *template.Template, data any) []byte {
	var out bytes.Buffer
	if err := t.Execute(&out, data); err != nil {
		panic(err)
	}
	return bytes.TrimSpace(out.Bytes())
}
