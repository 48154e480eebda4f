// Package answertest holds broken answers for the tests of everything that reads answers of targets.
package answertest

// broken is the body of the answers; chunked is the same with chunks.
const (
	broken  = "broken"
	chunked = "6\r\n" + broken + "\r\n0\r\n\r\n"
)

// An Answer is an answer that no sound target sends.
type Answer struct {
	Name   string
	before string // the status line, and lines behind it
	after  string // the rest of the head, and the body
}

// With returns the bytes of the answer. fields are whole lines of its head.
func (a Answer) With(fields string) string { return a.before + fields + a.after }

// SoundHeads are the heads of sound answers, by what they say of the end of the body, for tests that cut
// them.
var SoundHeads = map[string]string{
	"length": ok + "Content-Length: 0\r\n\r\n", "chunks": ok + "Transfer-Encoding: chunked\r\n\r\n", "neither": ok + "X: y\r\n\r\n",
}

// Broken returns answers with heads that aren't usable: their status line, the name or the value of a
// field, or what they say of the end of the body.
func Broken() []Answer {
	var all []Answer
	for _, line := range statusLines {
		all = append(all, Answer{line, line + "\r\n", sized})
	}
	for _, line := range fields {
		all = append(all, Answer{line, ok, line + "\r\n" + sized}, Answer{line + ", first", ok + line + "\r\n", sized})
	}
	for _, framing := range chunkFramings {
		all = append(all, Answer{framing, ok, framing + "\r\n\r\n" + chunked})
	}
	for _, framing := range lengthFramings {
		all = append(all, Answer{framing, ok, framing + "\r\n\r\n" + broken})
	}
	return append(all,
		Answer{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n" + chunked},
		Answer{"blank behind Content-Length", ok, "Content-Length : 6\r\n\r\n" + broken + "more"},
		Answer{"blank behind Transfer-Encoding", ok, "Transfer-Encoding : chunked\r\n\r\n" + chunked})
}

const (
	ok    = "HTTP/1.1 200 OK\r\n"
	sized = "Content-Length: 6\r\n\r\n" + broken
)

var statusLines = []string{
	"HTTP/1.1 000 Unknown", "HTTP/1.1 020 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 099 OK",
	"HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 xyz", "HTTP/1.1 200 \x01", "HTTP/1.1",
	"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.1\t200 OK",
}

var fields = []string{
	"X Y: 4", "X-Field : 4", "X\x01Y: 4", "X\tY: 4", "X\x7fY: 4", "X\x00Y: 4", "X\rY: 4", "X\xe9Y: 4", "X(Y): 4", "X@Y: 4", "X\x1bY: 4",
	": 4", "X-Field", " X-Field: 4", "\tX-Field: 4", "X: \x01", "X: \x00", "X: a\rb", "X: \x7f",
}

var chunkFramings = []string{
	"Content-Length: 6\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 16", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1",
}

var lengthFramings = []string{
	"Content-Length: 6\r\nContent-Length: 4", "Content-Length: 6, 4", "Content-Length: 6, 6", "Content-Length: +6", "Content-Length: -6", "Content-Length: 0x6", "Content-Length: 6 6",
	"Content-Length:", "Content-Length: 18446744073709551622", "X: y\r\n Content-Length: 6",
}
