package wire_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"jacinthstage/stage/wire"
)

type point struct {
	_ struct{} `cbor:",toarray"`
	X int
	Y int    `wire:"later"`
	N string `wire:"later"`
}

type shape struct {
	Points []point `cbor:"1,keyasint"`
	Name   string  `cbor:"2,keyasint"`
}

func encode(t *testing.T, v any) []byte {
	data, err := cbor.Marshal(v)
	require.NoError(t, err)
	return data
}

// TestArraysOfOtherBuilds checks what of an array is decoded that is longer or shorter than the
// struct, on its own and inside a map.
func TestArraysOfOtherBuilds(t *testing.T) {
	for _, c := range []struct {
		name  string
		items []any
		want  point
		fails bool
	}{
		{"same", []any{1, 2, "n"}, point{X: 1, Y: 2, N: "n"}, false},
		{"longer", []any{1, 2, "n", []any{"x"}, nil}, point{X: 1, Y: 2, N: "n"}, false},
		{"without later fields", []any{1}, point{X: 1}, false},
		{"without one that all send", []any{}, point{}, true},
		{"of another type", []any{"x", 2, "n"}, point{}, true},
		{"longer and of another type", []any{"x", 2, "n", 4}, point{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p point
			err := wire.Unmarshal(encode(t, c.items), &p)
			var s shape
			nested := wire.Unmarshal(encode(t, map[int]any{1: []any{c.items, c.items}, 2: "s", 3: "later"}), &s)
			if c.fails {
				require.Error(t, err)
				require.Error(t, nested)
				return
			}
			require.NoError(t, err)
			require.NoError(t, nested)
			require.Equal(t, c.want, p)
			require.Equal(t, shape{Points: []point{c.want, c.want}, Name: "s"}, s)
		})
	}
}

// TestOldValueIsOverwritten checks that a value that is decoded into holds nothing of before.
func TestOldValueIsOverwritten(t *testing.T) {
	p := point{X: 9, Y: 9, N: "old"}
	require.NoError(t, wire.Unmarshal(encode(t, []any{1}), &p))
	require.Equal(t, point{X: 1}, p)
}
