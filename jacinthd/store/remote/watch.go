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

// A line is one event of a watch.
type line struct {
	Kind     string `json:"kind"`
	Key      string `json:"key"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// Watch implements store.Store. It fails with store.ErrUnavailable where the
// watch ended or went silent.
func (s *Store) Watch(ctx context.Context, prefix string, revision uint64, change func(store.Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alive := time.AfterFunc(WatchIdleTimeout, cancel)
	defer alive.Stop()
	query := url.Values{"prefix": {prefix}, "revision": {strconv.FormatUint(revision, 10)}}
	reply, err := s.send(ctx, http.MethodGet, s.path("/v1/watch", query), condition{}, nil)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	switch reply.StatusCode {
	case http.StatusOK:
		err = follow(reply.Body, change, func() { alive.Reset(WatchIdleTimeout) })
		s.drop(ctx)
		return err
	case http.StatusGone:
		return errors.WithStack(store.ErrCompacted)
	default:
		return statusFault(reply.StatusCode)
	}
}

// follow reads lines until the watch breaks, calling seen after each.
func follow(body io.Reader, change func(store.Event), seen func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineLimit)
	for lines.Scan() {
		event, err := parse(lines.Bytes())
		if err != nil {
			return err
		}
		seen()
		change(event)
	}
	return errors.Wrapf(store.ErrUnavailable, "watch ended: %v", lines.Err())
}

func parse(text []byte) (store.Event, error) {
	var l line
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
