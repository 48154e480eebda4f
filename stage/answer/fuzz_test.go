package answer_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/answer"
	"jacinthstage/stage/answer/answertest"
)

// usableHead is what RFC 9112 says of a head, with a line feed in place of both characters and without
// a reason phrase as well. Its groups are the minor version, the status and the fields. A byte above
// 127, which may stand in values, is replaced by obsoleteText before.
var usableHead = regexp.MustCompile(`\AHTTP/1\.([0-9]) ([0-9]{3})(?: [\t -~§]*)?\r?\n((?:[!#$%&'*+.^_\x60|~0-9A-Za-z-]+:[\t -~§]*\r?\n)*)\r?\n`)

// obsoleteText stands for any byte above 127. A regular expression reads characters, not bytes.
const obsoleteText = '§'

// fieldOf finds a field among others.
func fieldOf(name string) *regexp.Regexp { return regexp.MustCompile(`(?mi)^` + name + `:`) }

var (
	lengthField   = fieldOf("Content-Length")
	encodingField = fieldOf("Transfer-Encoding")
)

// isUsable reports whether a head is usable, by usableHead.
func isUsable(head string) bool {
	m := usableHead.FindStringSubmatch(head)
	if m == nil || m[2] < "100" || m[2] > "599" || m[2] == "101" {
		return false
	}
	return !encodingField.MatchString(m[3]) || m[1] != "0" && !lengthField.MatchString(m[3])
}

// FuzzCheckHead compares CheckHead with a regular expression.
func FuzzCheckHead(f *testing.F) {
	for _, broken := range answertest.Broken() {
		f.Add([]byte(broken.With("X-Field: a\r\n")))
	}
	for _, head := range []string{"HTTP/1.0 200\n\n", "HTTP/1.1 503 No\r\nA:\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b", ""} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		var text strings.Builder
		for _, c := range head {
			if c > 127 {
				text.WriteRune(obsoleteText)
				continue
			}
			text.WriteByte(c)
		}
		require.Equal(t, isUsable(text.String()), answer.CheckHead(head) == nil, "%q", head)
	})
}
