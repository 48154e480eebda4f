package answer_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/answer"
	"jacinthstage/stage/answer/answertest"
)

func TestStatusLine(t *testing.T) {
	for line, usable := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 200 ": true, "HTTP/1.1 200": true, "HTTP/1.0 204 No Content": true, "HTTP/1.2 599 Any\ttext \xe9": true,
		"HTTP/1.1 100 Continue": true, "HTTP/1.1 199 Interim": true,
		"HTTP/1.1 101 Switching Protocols": false, "HTTP/1.1 099 OK": false, "HTTP/1.1 000": false, "HTTP/1.1 600 OK": false, "HTTP/1.1 999 OK": false,
		"HTTP/1.1 +20 OK": false, "HTTP/1.1 20 OK": false, "HTTP/1.1 2000 OK": false, "HTTP/1.1 200OK": false, "HTTP/1.1 ": false, "HTTP/1.1": false,
		"HTTP/2.0 200 OK": false, "HTTP/0.9 200 OK": false, "HTTP/1.10 200 OK": false, "HTTP/1. 200 OK": false, "http/1.1 200 OK": false,
		" HTTP/1.1 200 OK": false, "HTTP/1.1  200 OK": false, "HTTP/1.1\t200 OK": false, "HTTP/1.1 200 \x00": false, "HTTP/1.1 200 O\rK": false, "": false,
	} {
		for _, end := range []string{"\r\n", "\n"} {
			err := answer.CheckHead([]byte(line + end + end))
			require.Equal(t, usable, err == nil, "%q: %v", line, err)
		}
	}
}

func TestFinalStatus(t *testing.T) {
	for status := -1; status < 1100; status++ {
		require.Equal(t, status >= 200 && status <= 599, answer.CheckFinal(status) == nil, status)
		require.Equal(t, status >= 100 && status <= 199 && status != 101, answer.IsInterim(status), status)
	}
}

func TestFields(t *testing.T) {
	for _, c := range []struct {
		name   string
		lines  []string
		usable bool
	}{
		{"value", []string{"X-Field: a", "X-Field:a", "X-Field:", "X-Field: \ta \xe9 "}, true},
		{"any byte that a name may hold", []string{"!#$%&'*+-.^_`|~09azAZ: a"}, true},
		{"blank in a name", []string{"X Field: a"}, false},
		{"blank behind a name", []string{"X-Field : a"}, false},
		{"blank before a name (a folded line)", []string{" X-Field: a", "\tX-Field: a", " a"}, false},
		{"control byte in a name", []string{"X\tField: a", "X\x00: a", "X\x01: a", "X\x7f: a", "X\r: a"}, false},
		{"other byte that no name holds", []string{"X\xe9: a", "X(a): a"}, false},
		{"no name", []string{": a"}, false},
		{"no colon", []string{"X-Field"}, false},
		{"control byte in a value", []string{"X: \x00", "X: \x01", "X: \x7f", "X: a\rb"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, line := range c.lines {
				requireField(t, line, c.usable)
			}
		})
	}
}

// requireField checks whether heads with a line are usable.
func requireField(t *testing.T, line string, usable bool) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n", "HTTP/1.1 200 OK\n" + line + "\nA: b\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\n"} {
		err := answer.CheckHead([]byte(head))
		require.Equal(t, usable, err == nil, "%q: %v", head, err)
	}
}

// TestHeadThatStops checks each beginning of a head.
func TestHeadThatStops(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Field:\r\n\r\n"
	require.NoError(t, answer.CheckHead([]byte(whole)))
	for n := range len(whole) {
		require.Error(t, answer.CheckHead([]byte(whole[:n])), "%q", whole[:n])
	}
}

func TestFraming(t *testing.T) {
	for head, usable := range map[string]bool{
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n": true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": true, "HTTP/1.0 200 OK\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n": true, "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nTRANSFER-ENCODING: chunked\r\n\r\n": false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\nContent-Length: 4\r\n\r\n": false,
	} {
		require.Equal(t, usable, answer.CheckHead([]byte(head)) == nil, "%q", head)
	}
}

// TestBrokenAnswers checks the answers of package answertest that package net/http takes.
func TestBrokenAnswers(t *testing.T) {
	for _, broken := range answertest.Broken() {
		text := []byte(broken.With("X-Field: a\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			continue
		}
		require.NoError(t, response.Body.Close())
		head, _, found := bytes.Cut(text, []byte("\r\n\r\n"))
		require.True(t, found)
		require.Error(t, answer.CheckHead(append(head, "\r\n\r\n"...)), "%q", broken.Name)
	}
}
