package peer_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/suspect"
	"jacinthstage/stage/wire"
)

// The files in testdata/golden hold what former landings wrote, one message or stored object a
// line. They are never changed. Where a message has changed since the newest one, write another
// for the new landing:
//
//	go test ./internal/peer -run TestGolden -write NAME
var write = flag.String("write", "", "`name` of the landing whose golden file is written")

// landings are the golden files, the oldest first.
var landings = []string{"5e99eae", "0c2534b"}

const goldenFolder = "testdata/golden"

// since0c2534b are the messages that came with that landing.
func since0c2534b() []peer.Message {
	return []peer.Message{
		peer.ProxyRequest{
			Target: "t", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: 5, ID: "i", Method: "GET", RequestURI: "/a?b", Host: "h",
			Header: []byte("a: b\r\n"), Size: 3, AtMostOnce: true, Left: 4,
		},
		peer.ProxyData{Data: []byte("abc")},
		peer.ProxyHead{Status: 200, Header: []byte("a: b\r\n"), First: true},
		peer.ProxyEnd{Broken: "cut off", Ended: true},
		peer.ProxyRefusal{Reason: peer.TargetUnreached, Cause: "c"},
		peer.Digest{Digest: relay.Digest{From: "h", Notices: []notice.Report{
			{Target: 1, Started: 2, Limit: 2.5, Age: 3, Leaving: true, Quiet: 4, Brittle: true, Tolerated: 5, Heard: 6, Full: 7},
		}}},
	}
}

func storedLease() lease.Value {
	return lease.Value{Name: "h", Incarnation: "i", Generation: 2, Region: "r", Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:80"), Sequence: 3, ConfigVersion: 4}
}

func storedTable() host.Table {
	return host.Table{
		MaxEpoch: 4, ConfigVersion: 3, Grantor: host.Grantor{Name: "h", Epoch: 1},
		Members: []host.Identity{{Name: "h", Incarnation: "i", Generation: 2, Peer: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Leaving: true}},
		Rows:    []host.Row{{Runner: "t", Zone: "z", Fenced: true, Owner: "h", Epoch: 4, PreviousOwner: "g", PreviousEpoch: 3, Drained: true, NextOwner: "k"}},
	}
}

func storedSuspect() suspect.Record {
	return suspect.Record{Crashes: []suspect.Crash{1, 1 << 63}, Expires: time.Unix(1000, 0).UTC()}
}

// writeGolden writes a golden file with the messages and stored objects of this build.
func writeGolden(t *testing.T, file string) {
	var out bytes.Buffer
	for _, m := range append(messages(), since0c2534b()...) {
		fmt.Fprintf(&out, "%T %x\n", m, frameOf(t, m))
	}
	fmt.Fprintf(&out, "lease %x\n", storedLease().Encode())
	fmt.Fprintf(&out, "table %x\n", storedTable().Encode())
	fmt.Fprintf(&out, "suspect %x\n", storedSuspect().Encode())
	require.NoError(t, os.MkdirAll(goldenFolder, 0o755))
	require.NoError(t, os.WriteFile(file, out.Bytes(), 0o644))
}

func frameOf(t testing.TB, m peer.Message) []byte {
	var wire bytes.Buffer
	require.NoError(t, peer.Write(&wire, m))
	return wire.Bytes()
}

// A golden is one line of a golden file.
type golden struct {
	name string
	data []byte
}

func readGolden(t testing.TB, landing string) []golden {
	text, err := os.ReadFile(filepath.Join(goldenFolder, landing+".txt"))
	require.NoError(t, err)
	var all []golden
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, peer.MaxMessage)
	for lines.Scan() {
		name, encoded, _ := strings.Cut(lines.Text(), " ")
		data, err := hex.DecodeString(encoded)
		require.NoError(t, err)
		all = append(all, golden{name, data})
	}
	return all
}

// expected returns what the lines of a landing's golden file stand for.
func expected(landing string) []any {
	var all []any
	for _, m := range messages() {
		if d, ok := m.(peer.Digest); ok && landing == "5e99eae" {
			m = withoutBrittle(d)
		}
		all = append(all, m)
	}
	if landing != "5e99eae" {
		for _, m := range since0c2534b() {
			all = append(all, m)
		}
	}
	return append(all, storedLease(), storedTable(), storedSuspect())
}

// withoutBrittle returns the digest without what 5e99eae didn't know.
func withoutBrittle(d peer.Digest) peer.Digest {
	notices := d.Digest.Notices
	d.Digest.Notices = nil
	for _, n := range notices {
		n.Brittle, n.Tolerated, n.Heard, n.Full = false, 0, 0, 0
		d.Digest.Notices = append(d.Digest.Notices, n)
	}
	return d
}

// decodeGolden decodes a line as the type of what it stands for.
func decodeGolden(g golden) (any, error) {
	switch g.name {
	case "lease":
		return lease.Decode(g.data)
	case "table":
		return host.Decode(g.data)
	case "suspect":
		return suspect.Decode(g.data)
	default:
		return peer.Read(bytes.NewReader(g.data))
	}
}

// TestGoldenIsRead guards against a build that misreads what a former landing tells or stored.
func TestGoldenIsRead(t *testing.T) {
	if *write != "" {
		writeGolden(t, filepath.Join(goldenFolder, *write+".txt"))
	}
	for _, landing := range landings {
		lines, want := readGolden(t, landing), expected(landing)
		require.Len(t, lines, len(want))
		for i, g := range lines {
			got, err := decodeGolden(g)
			require.NoError(t, err, "%s: %s", landing, g.name)
			require.Equal(t, normal(want[i]), normal(got), "%s: %s", landing, g.name)
		}
	}
}

// normal returns a value whose times are in UTC.
func normal(v any) any {
	if r, ok := v.(suspect.Record); ok {
		r.Expires = r.Expires.UTC()
		return r
	}
	return v
}

// TestGoldenIsWritten guards against messages and stored objects that the newest landing reads
// otherwise, or not at all: it refuses each that has another shape. A changed shape is sent to
// hosts that speak a later version of the protocol only, and needs a golden file of its own.
func TestGoldenIsWritten(t *testing.T) {
	newest := landings[len(landings)-1]
	lines := readGolden(t, newest)
	for i, want := range expected(newest) {
		var data []byte
		switch v := want.(type) {
		case lease.Value:
			data = v.Encode()
		case host.Table:
			data = v.Encode()
		case suspect.Record:
			data = v.Encode()
		case peer.Message:
			data = frameOf(t, v)
		}
		require.Equal(t, hex.EncodeToString(lines[i].data), hex.EncodeToString(data), "%s: %s", newest, lines[i].name)
	}
}

// TestEarlierDigestIsWritten guards against digests that 5e99eae refuses as a whole.
func TestEarlierDigestIsWritten(t *testing.T) {
	for _, g := range readGolden(t, "5e99eae") {
		m, err := decodeGolden(g)
		require.NoError(t, err)
		if d, ok := m.(peer.Digest); ok {
			d.Earlier = true
			require.Equal(t, hex.EncodeToString(g.data), hex.EncodeToString(frameOf(t, d)))
			return
		}
	}
	require.Fail(t, "no digest")
}

// TestLaterBuildIsUnderstood guards against messages and objects of a later build that are lost,
// since they hold more than this one knows, on any level.
func TestLaterBuildIsUnderstood(t *testing.T) {
	newest := landings[len(landings)-1]
	for i, want := range expected(newest) {
		if _, ok := want.(peer.Message); !ok {
			g := readGolden(t, newest)[i]
			got, err := decodeGolden(golden{g.name, grown(t, reflect.TypeOf(want), g.data)})
			require.NoError(t, err, "%T", want)
			require.Equal(t, normal(want), normal(got))
			continue
		}
		if d, ok := want.(peer.Digest); ok {
			d.Extra.Quotas = []quota.Report{{Account: 1}} // else the shape of an earlier build is written
			want = d
		}
		frame := frameOf(t, want.(peer.Message))
		got, err := peer.Read(bytes.NewReader(grownFrame(t, reflect.TypeOf(want), frame)))
		require.NoError(t, err, "%T", want)
		require.Equal(t, want, got)
	}
}

// grownFrame returns the frame of a message as a later build may write it.
func grownFrame(t testing.TB, of reflect.Type, frame []byte) []byte {
	const head = 5
	body := grown(t, of, frame[head:])
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	return append(append(out, frame[head-1]), body...)
}

// grown returns an encoded value with two more elements in each array that holds a struct, and
// one more entry in each map.
func grown(t testing.TB, of reflect.Type, data []byte) []byte {
	var parsed any
	require.NoError(t, cbor.Unmarshal(data, &parsed))
	out, err := cbor.Marshal(grow(of, parsed))
	require.NoError(t, err)
	return out
}

func grow(of reflect.Type, value any) any {
	switch value := value.(type) {
	case []any:
		if of.Kind() == reflect.Slice {
			for i := range value {
				value[i] = grow(of.Elem(), value[i])
			}
			return value
		}
		n := 0
		for i := range of.NumField() {
			if f := of.Field(i); f.Name != "_" && f.Tag.Get("cbor") != "-" && n < len(value) {
				value[n] = grow(f.Type, value[n])
				n++
			}
		}
		return append(value, uint64(7), []any{"later", map[any]any{uint64(1): "x"}})
	case map[any]any:
		value[uint64(99)] = "later"
		return value
	default:
		return value
	}
}

// TestUnreadableMessages guards against messages that cost much, or are taken for something
// else: elements of another type, too few of them, or deep nesting.
func TestUnreadableMessages(t *testing.T) {
	digest := frameOf(t, peer.Digest{Digest: relay.Digest{From: "h"}})
	deep := append(bytes.Repeat([]byte{0x81}, 5000), 0x00)
	for name, body := range map[string][]byte{
		"too few elements": {0x81, 0x82, 0x61, 'h', 0xf4}, "none": {0x80}, "not an array": {0x01}, "deep": deep, "no end": {0x9f, 0x81},
		"huge array": {0x9a, 0x7f, 0xff, 0xff, 0xff}, "other types, and one more": {0x82, 0x89, 0x01, 0x02, 0x03, 0x04, 0x05, 0x06, 0x07, 0x08, 0x09, 0x01},
	} {
		frame := append([]byte{0, 0, byte((len(body) + 1) >> 8), byte(len(body) + 1), digest[4]}, body...)
		_, err := peer.Read(bytes.NewReader(frame))
		require.Error(t, err, name)
	}
	var v lease.Value
	require.Error(t, wire.Unmarshal([]byte{0x80}, &v))
	var unknown *peer.UnknownKindError
	_, err := peer.Read(bytes.NewReader([]byte{0, 0, 0, 2, 200, 0xa0}))
	require.ErrorAs(t, err, &unknown)
	require.EqualValues(t, 200, unknown.Kind)
}

// FuzzObjects decodes stored objects, beginning with those of former landings.
func FuzzObjects(f *testing.F) {
	for _, landing := range landings {
		for _, g := range readGolden(f, landing) {
			f.Add(g.data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := lease.Decode(data); err == nil {
			again, err := lease.Decode(v.Encode())
			require.NoError(t, err)
			require.Equal(t, v, again)
		}
		if table, err := host.Decode(data); err == nil {
			_, err := host.Decode(table.Encode())
			require.NoError(t, err)
		}
		_, _ = suspect.Decode(data)
	})
}
