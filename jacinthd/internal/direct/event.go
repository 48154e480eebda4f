package direct

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/outbound"
)

// maxEventBytes is the maximum size of a stream's event, in bytes.
const maxEventBytes = 256 << 10

// errNoEvent means that a target sent bytes that are no event of its stream.
var errNoEvent = errors.New("not an event of the stream")

// An event is one event of a stream, or comments.
type event struct {
	text    []byte // with the empty line that ends it
	id      string // empty if it has none
	comment bool   // it holds nothing but comments
}

// readEvent reads an event and the empty line that ends it. It returns io.EOF if
// the stream ended after a complete event.
func readEvent(r *bufio.Reader) (event, error) {
	var text []byte
	for len(text) < maxEventBytes {
		line, err := r.ReadSlice('\n')
		text = append(text, line...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case len(text) > 0 && (err == io.EOF || errors.Is(err, outbound.ErrCutOff)):
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(text) > len(line) {
			return parseEvent(text)
		}
	}
	return event{}, errors.New("event too large")
}

// parseEvent returns the event that a text holds.
func parseEvent(text []byte) (event, error) {
	e := event{text: text, comment: true}
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isFieldName(name) {
			return event{}, errors.Wrapf(errNoEvent, "line %.40q", line)
		}
		e.comment = false
		if string(name) == "id" && e.id == "" {
			e.id = string(bytes.TrimSpace(value))
		}
	}
	return e, nil
}

// isFieldName reports whether a name can be that of an event's field. The lines of another
// answer's head, HTML and JSON have none.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}

// An eventOrder records the events of a stream that its caller has, and decides whether another
// target goes on after them. Its zero value is that of a stream without events.
type eventOrder struct {
	last        string // ID of the last event that has one
	withoutID   bool   // other events came after it, so that no target can go on after them
	consecutive int    // IDs that are the number after the one before
	gaps        bool   // not all are
}

// add records an event that was sent to the caller.
func (o *eventOrder) add(e event) {
	if e.id == "" {
		o.withoutID = o.withoutID || !e.comment
		return
	}
	if isNext(o.last, e.id) {
		o.consecutive++
	} else if o.last != "" {
		o.gaps = true
	}
	o.last, o.withoutID = e.id, false
}

// check returns an error if an event of a target that goes on with the stream isn't one that
// follows. IDs increase. Where all have been consecutive numbers, none may be missing.
func (o *eventOrder) check(e event) error {
	if e.comment {
		return nil
	}
	if e.id == "" {
		return errors.Wrap(errNoEvent, "no id")
	}
	if !follows(o.last, e.id) || o.consecutive > 0 && !o.gaps && !isNext(o.last, e.id) {
		return errors.Wrapf(errNoEvent, "id %.40q after %.40q", e.id, o.last)
	}
	return nil
}

// follows reports whether an ID may come after another one. IDs that aren't numbers have no order.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseUint(last, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	if errBefore != nil && err != nil {
		return id != last
	}
	return errBefore == nil && err == nil && number > before
}

// isNext reports whether an ID is the number after another one.
func isNext(last, id string) bool {
	before, errBefore := strconv.ParseUint(last, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	return errBefore == nil && err == nil && number == before+1
}

// mediaType returns the media type of a body, without parameters; empty if it isn't declared.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
