package callers

import (
	"cmp"
	"net/http"

	"go.uber.org/zap"
)

// BreakOff ends an answer that has begun so that it looks incomplete, and panics with
// http.ErrAbortHandler: the last chunk is missing. HTTP/1.0 has no chunks, so that an orderly end of the
// connection would complete the answer: BreakOff resets the connection.
func BreakOff(w http.ResponseWriter, r *http.Request, log *zap.Logger) {
	if !r.ProtoAtLeast(1, 1) {
		if err := reset(w); err != nil {
			log.Warn("request: connection of a broken answer not reset", zap.Error(err))
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of an answer with a reset.
func reset(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		err = c.SetLinger(0)
	}
	return cmp.Or(err, conn.Close())
}
