package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"reflect"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/load"
	"jacinthstage/stage/wire"
)

// On the wire, a message is a 4-byte big-endian length, a one-byte kind, and a
// body in CBOR. The length counts the kind and the body. The kind is the index
// of the message's type in kinds. Bodies of later builds may hold more, see package wire.

// MaxMessage is the largest size of a message in bytes, including its kind.
const MaxMessage = 2 << 20

// headerSize is the size of the length and the kind, in bytes.
const headerSize = 5

// kinds lists the message types by their kind on the wire. The order is part of
// the protocol: new kinds are only appended.
var kinds = []Message{
	Forward{}, Admission{}, Token{}, End{}, Refusal{}, Ack{},
	Drained{}, ConfigVersion{}, ConfigRequest{}, Suspect{},
	PermitRequest{}, PermitResponse{}, ConfigResponse{},
	LoadRequest{}, LoadResponse{}, Digest{}, ObjectsRequest{}, ObjectsResponse{},
	StreamBegan{}, OriginRequest{}, OriginResponse{},
	ProxyRequest{}, ProxyData{}, ProxyHead{}, ProxyEnd{}, ProxyRefusal{},
}

// kindNumbers maps each message type to its kind.
var kindNumbers = func() map[reflect.Type]byte {
	byType := make(map[reflect.Type]byte, len(kinds))
	for i, m := range kinds {
		byType[reflect.TypeOf(m)] = byte(i)
	}
	return byType
}()

var encMode = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, TextMarshaler: cbor.TextMarshalerTextString}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TextUnmarshaler: cbor.TextUnmarshalerTextString,
		// Texts of callers and targets, such as names of adapters, may hold any bytes.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// maxPooledBuffer is the largest buffer that is returned to the pool, in bytes.
const maxPooledBuffer = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Write writes messages with a single call of w.Write. It fails without writing
// anything if one of them is larger than MaxMessage or lacks a required field.
func Write(w io.Writer, messages ...Message) error {
	_, err := write(w, messages)
	return err
}

func write(w io.Writer, messages []Message) (int, error) {
	out := buffers.Get().(*bytes.Buffer)
	out.Reset()
	defer func() {
		if out.Cap() <= maxPooledBuffer {
			buffers.Put(out)
		}
	}()
	for _, m := range messages {
		if err := appendFrame(out, m); err != nil {
			return 0, err
		}
	}
	return w.Write(out.Bytes())
}

// appendFrame appends one encoded message to out.
func appendFrame(out *bytes.Buffer, m Message) error {
	number, ok := kindNumbers[reflect.TypeOf(m)]
	if !ok {
		return errors.Errorf("peer: %T is not a known message type", m)
	}
	if err := validate(m); err != nil {
		return err
	}
	start := out.Len()
	out.Write(make([]byte, headerSize))
	if err := encMode.MarshalToBuffer(bodyOf(m), out); err != nil {
		return errors.Wrap(err, "peer: encode")
	}
	frame := out.Bytes()[start:]
	if len(frame)-headerSize+1 > MaxMessage {
		return errors.Errorf("peer: message over %d bytes", MaxMessage)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-headerSize+1))
	frame[headerSize-1] = number
	return nil
}

// bodyOf returns what is encoded of a message.
func bodyOf(m Message) any {
	d, ok := m.(Digest)
	switch {
	case !ok:
		return m
	case d.Earlier:
		return d.earlier()
	case d.Extra.IsZero():
		return plainDigest{Digest: d.Digest}
	default:
		return m
	}
}

// Read reads one message. It returns io.EOF if the input ends before the message
// begins. Memory use grows with the bytes received, not with the length that the
// sender claims.
func Read(r io.Reader) (Message, error) {
	m, _, err := read(r)
	return m, err
}

func read(r io.Reader) (Message, int, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	size := int64(binary.BigEndian.Uint32(head[:])) - 1
	if size < 0 || size >= MaxMessage {
		return nil, headerSize, errors.Errorf("peer: message of %d bytes, at most %d", size+1, MaxMessage)
	}
	body := buffers.Get().(*bytes.Buffer)
	body.Reset()
	defer func() {
		if body.Cap() <= maxPooledBuffer {
			buffers.Put(body)
		}
	}()
	if n, err := io.CopyN(body, r, size); err != nil {
		return nil, headerSize + int(n), errors.Wrap(io.ErrUnexpectedEOF, "peer: message cut short")
	}
	m, err := decode(head[headerSize-1], body.Bytes())
	return m, headerSize + body.Len(), err
}

// An UnknownKindError means that a message is of a kind that this build doesn't know. A later
// build has sent it.
type UnknownKindError struct{ Kind byte }

// Error returns a text that names the kind.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("peer: unknown kind %d", e.Kind) }

// decode decodes and validates a body. The message shares no memory with it.
func decode(number byte, body []byte) (Message, error) {
	if int(number) >= len(kinds) {
		return nil, &UnknownKindError{Kind: number}
	}
	if d, ok := decodePlain(kinds[number], body); ok {
		return d, nil
	}
	value := reflect.New(reflect.TypeOf(kinds[number]))
	if err := wire.UnmarshalWith(decMode, body, value.Interface()); err != nil {
		return nil, errors.Wrapf(err, "peer: decode kind %d", number)
	}
	m := value.Elem().Interface().(Message)
	return m, validate(m)
}

// validate returns an error if a required field of a message is missing or
// invalid.
func validate(m Message) error {
	ok := true
	switch m := m.(type) {
	case Forward:
		ok = m.ID != "" && validRef(m.Ref) && m.Runner != "" && !m.Deadline.IsZero() && m.Tokens > 0 && m.Offset >= 0
	case Token:
		ok = m.Index >= 0
	case Refusal:
		ok = m.Verdict.String() != ""
	case PermitRequest:
		ok = !slices.ContainsFunc(m.Request.Pending, func(p load.PendingLoad) bool { return !validRef(p.Ref) })
	case PermitResponse:
		ok = m.Reply.Rate >= 0 &&
			!slices.ContainsFunc(m.Reply.Grants, func(g load.Grant) bool { return !validRef(g.Ref) }) &&
			!slices.ContainsFunc(m.Reply.Denials, func(d load.Denial) bool { return !validRef(d.Ref) })
	case Suspect:
		ok = m.Fingerprint != "" && m.CrashID != ""
	case ConfigRequest:
		ok = m.Part >= 0
	case ConfigResponse:
		ok = m.Version > 0 && !slices.ContainsFunc(m.Patches, func(p Patch) bool { return p.Number == 0 || len(p.Data) == 0 })
	case LoadRequest:
		ok = m.Runner != "" && m.Model != "" && m.Adapter != ""
	case ObjectsRequest:
		ok = m.Kind != ""
	case OriginRequest:
		ok = m.Service != ""
	case ProxyRequest:
		ok = m.Target != "" && m.Address.IsValid() && m.Method != "" && m.RequestURI != "" && m.Size >= 0
	case ProxyData:
		ok = len(m.Data) > 0
	case ProxyHead:
		ok = m.Status >= 200 && m.Status <= 999
	case ProxyEnd, ProxyRefusal:
	case Admission, End, Ack, Drained, ConfigVersion, LoadResponse, Digest, ObjectsResponse, StreamBegan, OriginResponse:
	default:
		return errors.Errorf("peer: no validation for %T", m)
	}
	if !ok {
		return errors.Errorf("peer: %T lacks a required field or has an invalid one", m)
	}
	return nil
}

// validRef reports whether ref is one that adapter.Parse returns. In CBOR a ref
// may also be encoded as a map, which bypasses the checks of adapter.Parse.
func validRef(ref adapter.Ref) bool {
	parsed, err := adapter.Parse(ref.String())
	return err == nil && parsed == ref
}
