package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"reflect"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/load"
)

// A message travels as a length of 4 bytes, a kind of one byte and its body in
// CBOR. The kind is the message's place in kinds.

// MaxMessage is the largest message, in bytes with its kind.
const MaxMessage = 2 << 20

// header is the length and the kind, in bytes.
const header = 5

// kinds are the messages by their kind on the wire. Kinds are only added.
var kinds = []Message{
	Forward{}, Admission{}, Token{}, End{}, Refusal{}, Ack{},
	Drained{}, ConfigVersion{}, ConfigRequest{}, Suspect{},
	PermitRequest{}, PermitResponse{}, ConfigResponse{},
	LoadRequest{}, LoadResponse{}, Digest{}, ObjectsRequest{}, ObjectsResponse{},
}

var numbers = func() map[reflect.Type]byte {
	all := make(map[reflect.Type]byte, len(kinds))
	for i, m := range kinds {
		all[reflect.TypeOf(m)] = byte(i)
	}
	return all
}()

var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, TextMarshaler: cbor.TextMarshalerTextString}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// maxKept is the largest buffer kept for the next messages, in bytes.
const maxKept = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Write writes messages in one go. It fails before it wrote anything where one
// of them is over MaxMessage or lacks a field.
func Write(to io.Writer, messages ...Message) error {
	_, err := write(to, messages)
	return err
}

func write(to io.Writer, messages []Message) (int, error) {
	out := buffers.Get().(*bytes.Buffer)
	out.Reset()
	defer func() {
		if out.Cap() <= maxKept {
			buffers.Put(out)
		}
	}()
	for _, m := range messages {
		if err := add(out, m); err != nil {
			return 0, err
		}
	}
	return to.Write(out.Bytes())
}

// add puts one message behind those in out.
func add(out *bytes.Buffer, m Message) error {
	number, ok := numbers[reflect.TypeOf(m)]
	if !ok {
		return errors.Errorf("peer: no kind for %T", m)
	}
	if err := check(m); err != nil {
		return err
	}
	start := out.Len()
	out.Write(make([]byte, header))
	if err := encoding.MarshalToBuffer(m, out); err != nil {
		return errors.Wrap(err, "peer: encode")
	}
	frame := out.Bytes()[start:]
	if len(frame)-header+1 > MaxMessage {
		return errors.Errorf("peer: message over %d bytes", MaxMessage)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-header+1))
	frame[header-1] = number
	return nil
}

// Read reads one message. io.EOF says that the input ended before it. Memory
// grows with what has arrived, not with the length that the sender claims.
func Read(from io.Reader) (Message, error) {
	m, _, err := read(from)
	return m, err
}

func read(from io.Reader) (Message, int, error) {
	var head [header]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, 0, err
	}
	size := int64(binary.BigEndian.Uint32(head[:])) - 1
	if size < 0 || size >= MaxMessage {
		return nil, header, errors.Errorf("peer: message of %d bytes, at most %d", size+1, MaxMessage)
	}
	body := buffers.Get().(*bytes.Buffer)
	body.Reset()
	defer func() {
		if body.Cap() <= maxKept {
			buffers.Put(body)
		}
	}()
	if n, err := io.CopyN(body, from, size); err != nil {
		return nil, header + int(n), errors.Wrap(io.ErrUnexpectedEOF, "peer: message cut")
	}
	m, err := decode(head[header-1], body.Bytes())
	return m, header + body.Len(), err
}

// decode reads a body; what it returns shares no memory with it.
func decode(number byte, body []byte) (Message, error) {
	if int(number) >= len(kinds) {
		return nil, errors.Errorf("peer: unknown kind %d", number)
	}
	value := reflect.New(reflect.TypeOf(kinds[number]))
	if err := decoding.Unmarshal(body, value.Interface()); err != nil {
		return nil, errors.Wrapf(err, "peer: decode kind %d", number)
	}
	m := value.Elem().Interface().(Message)
	return m, check(m)
}

// check refuses a message that lacks what its kind must say.
func check(m Message) error {
	whole := true
	switch m := m.(type) {
	case Forward:
		whole = m.ID != "" && valid(m.Ref) && m.Runner != "" && !m.Deadline.IsZero() && m.Tokens > 0 && m.Offset >= 0
	case Token:
		whole = m.Index >= 0
	case Refusal:
		whole = m.Verdict.String() != ""
	case PermitRequest:
		whole = !slices.ContainsFunc(m.Request.Pending, func(w load.PendingLoad) bool { return !valid(w.Ref) })
	case PermitResponse:
		whole = m.Reply.Rate >= 0 &&
			!slices.ContainsFunc(m.Reply.Grants, func(g load.Grant) bool { return !valid(g.Ref) }) &&
			!slices.ContainsFunc(m.Reply.Denials, func(d load.Denial) bool { return !valid(d.Ref) })
	case Suspect:
		whole = m.Fingerprint != "" && m.CrashID != ""
	case ConfigRequest:
		whole = m.Part >= 0
	case ConfigResponse:
		whole = m.Version > 0 && !slices.ContainsFunc(m.Patches, func(p Patch) bool { return p.Number == 0 || len(p.Data) == 0 })
	case LoadRequest:
		whole = m.Runner != "" && m.Model != "" && m.Adapter != ""
	case ObjectsRequest:
		whole = m.Kind != ""
	case Admission, End, Ack, Drained, ConfigVersion, LoadResponse, Digest, ObjectsResponse:
	default:
		return errors.Errorf("peer: no check for %T", m)
	}
	if !whole {
		return errors.Errorf("peer: %T lacks a field or has a bad one", m)
	}
	return nil
}

// valid reports whether ref is one that adapter.Parse gives: in CBOR it may
// also come as a map, which nobody has checked.
func valid(ref adapter.Ref) bool {
	parsed, err := adapter.Parse(ref.String())
	return err == nil && parsed == ref
}
