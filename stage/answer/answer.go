// Package answer decides which heads of HTTP/1 answers are usable. Everything that reads answers of
// targets asks it, since package net/http is more lenient than a host may be: a target in trouble
// sends heads that mean something else to the next reader, or that can't be passed on at all.
//
// A usable head is as RFC 9112 wants it, with two liberties that sound targets take: its lines may end
// with a line feed alone, and the reason phrase may be missing with the blank before it. Everything
// else is a broken answer, to a request that may have run.
package answer

import (
	"bytes"
	"fmt"
)

const (
	// minInterimStatus and minFinalStatus are the lowest statuses of an answer that another one
	// follows and of a final one; maxStatus is the highest.
	minInterimStatus = 100
	minFinalStatus   = 200
	maxStatus        = 599
	// switchingProtocols is the status behind which no HTTP follows.
	switchingProtocols = 101
)

// A BrokenError says why an answer's head isn't usable.
type BrokenError struct{ reason string }

// Error returns the reason.
func (e *BrokenError) Error() string { return "broken answer: " + e.reason }

// broken returns a *BrokenError. What it quotes of an answer is cut to maxQuoted.
func broken(format string, quoted []byte) error {
	return &BrokenError{fmt.Sprintf(format, quoted[:min(len(quoted), maxQuoted)])}
}

// maxQuoted is the largest part of an answer that an error repeats, in bytes.
const maxQuoted = 40

// CheckFinal returns an error if status isn't that of a final answer. Others than 200 to 599 have no
// meaning, and package net/http panics when it writes one below 100.
func CheckFinal(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return &BrokenError{fmt.Sprintf("status %03d", status)}
	}
	return nil
}

// IsInterim reports whether another answer follows one of this status. None follows
// switchingProtocols, for which no host asks.
func IsInterim(status int) bool {
	return status >= minInterimStatus && status < minFinalStatus && status != switchingProtocols
}

// CheckHead returns an error if an answer's head, from the status line to the empty line, isn't
// usable.
func CheckHead(head []byte) error {
	line, rest, ended := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	body := framing{http10: bytes.HasPrefix(line, []byte("HTTP/1.0"))}
	for ended {
		line, rest, ended = cutLine(rest)
		if len(line) == 0 && ended {
			return body.check()
		}
		if err := checkField(line); err != nil {
			return err
		}
		body.add(line)
	}
	return broken("head that stops in %q", line)
}

// cutLine returns the first line of a head, without its end, the lines behind it, and whether the
// line has an end.
func cutLine(head []byte) (line, rest []byte, ended bool) {
	line, rest, ended = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest, ended
}
