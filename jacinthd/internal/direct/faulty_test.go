package direct_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFaultyHeadIsNotRepeated guards against a failure that repeats to the caller what a faulty
// target sent in place of a head, also through another host.
func TestFaultyHeadIsNotRepeated(t *testing.T) {
	const maxFailure = 1 << 10 // bytes
	faulty := func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.Repeat("\x00", 60<<10)+"\r\n\r\n")
	}
	for _, indirect := range []bool{false, true} {
		t.Run(fmt.Sprint("through another host ", indirect), func(t *testing.T) {
			var s *testSystem
			if indirect {
				s, _ = newCutSystem(t, 2, 1, faulty)
			} else {
				s = newTestSystem(t, 1, faulty)
			}
			response, text, err := s.send(t, http.MethodPost, "/once/", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Less(t, len(text), maxFailure)
		})
	}
}
