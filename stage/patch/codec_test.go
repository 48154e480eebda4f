package patch_test

import (
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
)

func hexHash(h caller.TokenHash) string { return hex.EncodeToString(h[:]) }

// everyChange returns a patch that contains every type of change.
func everyChange() patch.Patch {
	return patch.Patch{Number: 8, Base: 7, ID: "i", Author: "a", Reason: "r", Time: time.Date(2026, 12, 3, 1, 2, 3, 4, time.UTC), Changes: []patch.Change{
		patch.PutAdapter{Adapter: adapter.Adapter{Name: "fees", Service: "draft", Versions: []string{"v1"}}},
		patch.PutCaller{Caller: caller.Caller{Name: "c", Tokens: []string{tokenHash("b")}, Weight: 2, Priority: -1}},
		patch.PutRule{Rule: rule.Rule{Name: "r", Caller: "c", Adapter: "fees"}},
		patch.PutService{Service: service.Service{Name: "p", Plain: &service.Plain{Idempotent: []service.Call{{Method: "GET", Path: "/status"}}}}},
		patch.PutTarget{Target: runner("t", "[::1]:80")},
		patch.RemoveAdapter{Name: "a"}, patch.RemoveCaller{Name: "b"}, patch.RemoveRule{Name: "c"},
		patch.RemoveService{Name: "d"}, patch.RemoveTarget{Name: "e"},
	}}
}

func TestCodecs(t *testing.T) {
	p := everyChange()
	text, err := json.Marshal(p)
	require.NoError(t, err)
	data, err := cbor.Marshal(p)
	require.NoError(t, err)
	for name, encoded := range map[string][]byte{"json": text, "cbor": data} {
		t.Run(name, func(t *testing.T) {
			decoded, err := patch.Decode(encoded)
			require.NoError(t, err)
			require.Equal(t, p, decoded)
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	cases := map[string]string{
		"unknown field":        `{"changes":[],"extra":1}`,
		"unknown entry":        `{"changes":[{"put":{"widget":{}}}]}`,
		"unknown nested field": `{"changes":[{"put":{"rule":{"name":"r","colour":1}}}]}`,
		"two entries":          `{"changes":[{"put":{"rule":{}},"remove":{"rule":"r"}}]}`,
		"no entry":             `{"changes":[{}]}`,
		"trailing data":        `{"changes":[]} {}`,
		"not json":             `{`,
		"not cbor":             "\xff",
		"empty":                "",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := patch.Decode([]byte(text))
			require.Error(t, err)
		})
	}
}

// FuzzDecode checks that no input makes Decode or Apply panic, that Apply fails only
// with a Refusal, and that a decoded patch can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	p := everyChange()
	text, err := json.Marshal(p)
	require.NoError(f, err)
	data, err := cbor.Marshal(p)
	require.NoError(f, err)
	f.Add(text)
	f.Add(data)
	f.Add([]byte(`{"changes":[{"remove":{"rule":"r"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := patch.Decode(data)
		if err != nil {
			return
		}
		var empty patch.Config
		p.Base, p.Number = 0, 1
		if _, err := empty.Apply(p); err != nil {
			var refusal *patch.Refusal
			require.ErrorAs(t, err, &refusal)
		}
		again, err := cbor.Marshal(p)
		require.NoError(t, err)
		_, err = patch.Decode(again)
		require.NoError(t, err)
	})
}
