package answer

import (
	"bytes"
	"strings"
)

// checkField checks a line "Name: value". A line that continues the one before begins with a blank,
// which no name does: joined to another value, it would hide a field from one reader that the next
// one sees.
func checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return broken("no field in %q", line)
	case len(name) == 0 || !allOf(name, isNameByte):
		return broken("name of a field in %q", line)
	case !allOf(value, isText):
		return broken("value of a field in %q", line)
	}
	return nil
}

// isNameByte reports whether a byte may stand in the name of a field (a token of RFC 9110).
func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
