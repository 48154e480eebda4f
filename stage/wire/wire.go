// Package wire decodes CBOR from hosts of other builds.
//
// What hosts tell each other and store is encoded as arrays, in the order of the fields, for its
// size. A later build appends fields, tagged `wire:"later"`; it never removes or reorders one,
// nor gives it another meaning. So a reader ignores elements that it doesn't know, and tagged
// fields that it lacks are zero. Structs that are encoded as maps need nothing for that: unknown
// keys are ignored anyway.
//
// Data of the reader's own shape, nearly all of it, is decoded directly. Only data that doesn't
// fit is fitted to the shape first, within the same limits on sizes and depths.
package wire

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// defaultMode has the limits of the library.
var defaultMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Unmarshal decodes data into the value to which v points, within the limits of the library.
func Unmarshal(data []byte, v any) error { return UnmarshalWith(defaultMode, data, v) }

// UnmarshalWith is Unmarshal with limits of its own.
func UnmarshalWith(mode cbor.DecMode, data []byte, v any) error {
	err := mode.Unmarshal(data, v)
	var mismatch *cbor.UnmarshalTypeError
	if err == nil || !errors.As(err, &mismatch) {
		return err
	}
	var parsed any
	if mode.Unmarshal(data, &parsed) != nil {
		return err
	}
	out := reflect.ValueOf(v).Elem()
	fitted, changed := fit(out.Type(), parsed)
	if !changed {
		return err
	}
	again, encodeErr := cbor.Marshal(fitted)
	if encodeErr != nil {
		return err
	}
	out.SetZero()
	return mode.Unmarshal(again, v)
}

// later is the value of the tag of fields that earlier builds don't send.
const later = "later"

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// fit returns a decoded value with its arrays fitted to the shape of a type, and whether any
// was changed.
func fit(t reflect.Type, value any) (fitted any, changed bool) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		return value, false
	}
	switch t.Kind() {
	case reflect.Struct:
		return fitStruct(t, value)
	case reflect.Slice, reflect.Array:
		return fitElements(t.Elem(), value)
	default:
		return value, false
	}
}

func fitElements(t reflect.Type, value any) (fitted any, changed bool) {
	items, ok := value.([]any)
	if !ok {
		return value, false
	}
	for i, item := range items {
		var itemChanged bool
		items[i], itemChanged = fit(t, item)
		changed = changed || itemChanged
	}
	return items, changed
}

func fitStruct(t reflect.Type, value any) (fitted any, changed bool) {
	fields, positional := fieldsOf(t)
	switch value := value.(type) {
	case []any:
		if !positional {
			return value, false
		}
		return fitArray(fields, value)
	case map[any]any:
		return fitMap(fields, value)
	default:
		return value, false
	}
}

// fitArray drops elements that the fields lack, and adds nulls for missing ones that may be,
// which stand for zero values.
func fitArray(fields []reflect.StructField, items []any) (fitted any, changed bool) {
	if len(items) < len(fields) && fields[len(items)].Tag.Get("wire") != later {
		return items, false
	}
	changed = len(items) != len(fields)
	out := make([]any, len(fields))
	copy(out, items)
	for i, f := range fields {
		var itemChanged bool
		out[i], itemChanged = fit(f.Type, out[i])
		changed = changed || itemChanged
	}
	return out, changed
}

// fitMap fits the values of a map with numbered keys.
func fitMap(fields []reflect.StructField, items map[any]any) (fitted any, changed bool) {
	for _, f := range fields {
		key, found := keyOf(f, items)
		if !found {
			continue
		}
		var itemChanged bool
		items[key], itemChanged = fit(f.Type, items[key])
		changed = changed || itemChanged
	}
	return items, changed
}

// keyOf returns the key of a field in a map, and whether the map has it.
func keyOf(f reflect.StructField, items map[any]any) (key any, found bool) {
	name, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
	if name == "" {
		name = f.Name
	}
	if n, err := strconv.ParseUint(name, 10, 64); err == nil {
		key = n
	} else {
		key = name
	}
	_, found = items[key]
	return key, found
}

// fieldsOf returns the encoded fields of a struct, and whether they are encoded as an array.
func fieldsOf(t reflect.Type) (fields []reflect.StructField, positional bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("cbor")
		switch {
		case f.Name == "_":
			positional = strings.Contains(tag, "toarray")
		case f.IsExported() && tag != "-":
			fields = append(fields, f)
		}
	}
	return fields, positional
}
