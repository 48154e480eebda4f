package answer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/answer"
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
