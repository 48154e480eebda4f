package remote

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/store"
)

// An eventJSON is one line of a watch, which is one event.
type eventJSON struct {
	Kind     string `json:"kind"`
	Key      string `json:"key"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Watch implements store.Store. It fails with store.ErrUnavailable if the watch
// ended or received no event for WatchIdleTimeout.
func (s *Store) Watch(ctx context.Context, prefix string, revision uint64, change func(store.Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(WatchIdleTimeout, cancel)
	defer idle.Stop()
	query := url.Values{"prefix": {prefix}, "revision": {strconv.FormatUint(revision, 10)}}
	resp, err := s.send(ctx, http.MethodGet, s.urlFor("/v1/watch", query), precondition{}, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err = readEvents(resp.Body, change, func() { idle.Reset(WatchIdleTimeout) })
		s.closeIfExpired(ctx)
		return err
	case http.StatusGone:
		return errors.WithStack(store.ErrCompacted)
	default:
		return statusError(resp.StatusCode)
	}
}

// readEvents passes events to change until the watch ends. It calls seen for each
// event before change.
func readEvents(body io.Reader, change func(store.Event), seen func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineLimit)
	for lines.Scan() {
		event, err := parseEvent(lines.Bytes())
		if err != nil {
			return err
		}
		seen()
		change(event)
	}
	return errors.Wrapf(store.ErrUnavailable, "watch ended: %v", lines.Err())
}

// parseEvent decodes one line of a watch.
func parseEvent(text []byte) (store.Event, error) {
	var l eventJSON
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "watch: %v", err)
	}
	switch l.Kind {
	case "put":
		return store.Put{Object: store.Object{Key: l.Key, Version: l.Version, Value: l.Value}, Revision: l.Revision}, nil
	case "delete":
		return store.Delete{Key: l.Key, Revision: l.Revision}, nil
	case "bookmark":
		return store.Bookmark{Revision: l.Revision}, nil
	default:
		return nil, errors.Wrapf(store.ErrUnavailable, "watch: kind %q", l.Kind)
	}
}
