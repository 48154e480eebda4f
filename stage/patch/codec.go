package patch

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// document is the encoded form of a Patch in JSON and CBOR. Decoding errors that
// operators see contain its name and those of record, entry and names.
type document struct {
	Number  uint64    `json:"number,omitempty"`
	Base    uint64    `json:"base,omitempty"`
	ID      string    `json:"id,omitempty"`
	Author  string    `json:"author,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	Time    time.Time `json:"time,omitzero"`
	Changes []record  `json:"changes"`
}

// record is the encoded form of a Change. It has either one entry under put
// or one name under remove.
type record struct {
	Put    *entry `json:"put,omitempty"`
	Remove *names `json:"remove,omitempty"`
}

// entry is the encoded form of an entry. Exactly one field is set.
type entry struct {
	Adapter *adapter.Adapter `json:"adapter,omitempty"`
	Caller  *caller.Caller   `json:"caller,omitempty"`
	Rule    *rule.Rule       `json:"rule,omitempty"`
	Service *service.Service `json:"service,omitempty"`
	Target  *target.Target   `json:"target,omitempty"`
}

// names is the encoded name of an entry to remove. Exactly one field is set,
// the one for the kind of the entry.
type names struct {
	Adapter string `json:"adapter,omitempty"`
	Caller  string `json:"caller,omitempty"`
	Rule    string `json:"rule,omitempty"`
	Service string `json:"service,omitempty"`
	Target  string `json:"target,omitempty"`
}

// maxNestedLevels and maxElements limit the nesting of a CBOR patch and the number
// of elements of each of its arrays and maps.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 17
)

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeRFC3339Nano}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}.DecMode())
)

// must returns mode, or panics if err is not nil.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// MarshalJSON implements json.Marshaler.
func (p Patch) MarshalJSON() ([]byte, error) {
	d, err := p.toDocument()
	if err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// UnmarshalJSON implements json.Unmarshaler. It refuses unknown fields.
func (p *Patch) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var d document
	if err := decoder.Decode(&d); err != nil {
		return errors.Wrap(err, "patch")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("patch: text behind the patch")
	}
	return p.fromDocument(d)
}

// MarshalCBOR implements cbor.Marshaler. Equal patches are encoded to equal bytes.
func (p Patch) MarshalCBOR() ([]byte, error) {
	d, err := p.toDocument()
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(d)
}

// UnmarshalCBOR implements cbor.Unmarshaler. It refuses unknown fields.
func (p *Patch) UnmarshalCBOR(data []byte) error {
	var d document
	if err := decoder.Unmarshal(data, &d); err != nil {
		return errors.Wrap(err, "patch")
	}
	return p.fromDocument(d)
}

// Decode decodes a patch from JSON or CBOR. Data whose first character other than
// white space is an opening brace is JSON.
func Decode(data []byte) (Patch, error) {
	var p Patch
	if len(data) > MaxSize {
		return p, errors.Errorf("patch: %d bytes, more than %d", len(data), MaxSize)
	}
	if trimmed := bytes.TrimLeft(data, " \t\r\n"); len(trimmed) > 0 && trimmed[0] == '{' {
		err := p.UnmarshalJSON(data)
		return p, err
	}
	err := p.UnmarshalCBOR(data)
	return p, err
}

func (p Patch) toDocument() (document, error) {
	d := document{Number: p.Number, Base: p.Base, ID: p.ID, Author: p.Author, Reason: p.Reason, Time: p.Time}
	d.Changes = make([]record, 0, len(p.Changes))
	for _, c := range p.Changes {
		r, err := newRecord(c)
		if err != nil {
			return d, err
		}
		d.Changes = append(d.Changes, r)
	}
	return d, nil
}

func (p *Patch) fromDocument(d document) error {
	out := Patch{Number: d.Number, Base: d.Base, ID: d.ID, Author: d.Author, Reason: d.Reason, Time: d.Time}
	for i, r := range d.Changes {
		c, err := r.change()
		if err != nil {
			return errors.WithMessagef(err, "patch: change %d", i+1)
		}
		out.Changes = append(out.Changes, c)
	}
	*p = out
	return nil
}

func newRecord(change Change) (record, error) {
	switch x := change.(type) {
	case PutAdapter:
		return record{Put: &entry{Adapter: &x.Adapter}}, nil
	case PutCaller:
		return record{Put: &entry{Caller: &x.Caller}}, nil
	case PutRule:
		return record{Put: &entry{Rule: &x.Rule}}, nil
	case PutService:
		return record{Put: &entry{Service: &x.Service}}, nil
	case PutTarget:
		return record{Put: &entry{Target: &x.Target}}, nil
	case RemoveAdapter:
		return record{Remove: &names{Adapter: x.Name}}, nil
	case RemoveCaller:
		return record{Remove: &names{Caller: x.Name}}, nil
	case RemoveRule:
		return record{Remove: &names{Rule: x.Name}}, nil
	case RemoveService:
		return record{Remove: &names{Service: x.Name}}, nil
	case RemoveTarget:
		return record{Remove: &names{Target: x.Name}}, nil
	default:
		return record{}, errors.Errorf("patch: unknown change %T", change)
	}
}

// change returns the only change of the record. It fails if the record has no
// entry or more than one.
func (r record) change() (Change, error) {
	var found []Change
	if r.Put != nil {
		found = append(found, r.Put.changes()...)
	}
	if r.Remove != nil {
		found = append(found, r.Remove.changes()...)
	}
	if len(found) != 1 {
		return nil, errors.Errorf("%d entries, not one", len(found))
	}
	return found[0], nil
}

func (e entry) changes() (found []Change) {
	if e.Adapter != nil {
		found = append(found, PutAdapter{*e.Adapter})
	}
	if e.Caller != nil {
		found = append(found, PutCaller{*e.Caller})
	}
	if e.Rule != nil {
		found = append(found, PutRule{*e.Rule})
	}
	if e.Service != nil {
		found = append(found, PutService{*e.Service})
	}
	if e.Target != nil {
		found = append(found, PutTarget{*e.Target})
	}
	return found
}

func (n names) changes() (found []Change) {
	if n.Adapter != "" {
		found = append(found, RemoveAdapter{n.Adapter})
	}
	if n.Caller != "" {
		found = append(found, RemoveCaller{n.Caller})
	}
	if n.Rule != "" {
		found = append(found, RemoveRule{n.Rule})
	}
	if n.Service != "" {
		found = append(found, RemoveService{n.Service})
	}
	if n.Target != "" {
		found = append(found, RemoveTarget{n.Target})
	}
	return found
}
