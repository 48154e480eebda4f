package adapter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
)

func TestParse(t *testing.T) {
	cases := []struct {
		text string
		want adapter.Ref
		ok   bool
	}{
		{"fees@v1", adapter.Ref{Name: "fees", Version: "v1"}, true},
		{"a-b.c_d@2026.1", adapter.Ref{Name: "a-b.c_d", Version: "2026.1"}, true},
		{"fees", adapter.Ref{}, false},
		{"fees@", adapter.Ref{}, false},
		{"@v1", adapter.Ref{}, false},
		{"fees@v1@v2", adapter.Ref{}, false},
		{"Fees@v1", adapter.Ref{}, false},
		{"fees@v1\n", adapter.Ref{}, false},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			got, err := adapter.Parse(c.text)
			require.Equal(t, c.ok, err == nil)
			require.Equal(t, c.want, got)
		})
	}
}
