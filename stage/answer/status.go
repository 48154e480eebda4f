package answer

import (
	"bytes"
	"strconv"
)

// statusDigits is the number of digits of a status.
const statusDigits = 3

// version begins a status line. Any minor version is read as HTTP/1.1, as RFC 9110 wants it; what
// HTTP/1.0 lacks is checked with the fields.
var version = []byte("HTTP/1.")

// checkStatusLine checks a line "HTTP/1.1 200 OK".
func checkStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, version)
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return broken("no version of HTTP/1 in %q", line)
	}
	status, reason := rest[2:], []byte(nil)
	if len(status) > statusDigits {
		status, reason = status[:statusDigits], status[statusDigits:]
	}
	if len(status) != statusDigits || !allOf(status, isDigit) {
		return broken("no status in %q", line)
	}
	if len(reason) > 0 && reason[0] != ' ' || !allOf(reason, isText) {
		return broken("reason phrase in %q", line)
	}
	code, err := strconv.Atoi(string(status))
	if err != nil || IsInterim(code) {
		return err
	}
	return CheckFinal(code)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether a byte may stand in a reason phrase or in the value of a field: any but
// control characters, of which the tab is allowed.
func isText(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }

// allOf reports whether a condition holds for all bytes of a text.
func allOf(text []byte, holds func(byte) bool) bool {
	for _, c := range text {
		if !holds(c) {
			return false
		}
	}
	return true
}
