package peer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/admission"
	"jacinthstage/stage/load"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/origin"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/speed"
	"jacinthstage/stage/suspect"
	"jacinthstage/stage/verdict"
)

var (
	fees = adapter.Ref{Name: "fees", Version: "v1"}
	noon = time.Date(2026, 1, 2, 12, 0, 0, 5, time.UTC)
)

func messages() []peer.Message {
	return []peer.Message{
		peer.Forward{ID: "i", Ref: fees, Runner: "r", Service: "s", Caller: "c", Weight: 2, Priority: 3, Deadline: noon, Prefix: 1 << 63, Tokens: 5, Prompt: "p", Offset: 6, Fingerprint: "f"},
		peer.Admission{Waiting: 1, Running: 2, Resident: true, Stall: time.Second},
		peer.Token{Index: 3, Text: "t"},
		peer.End{Tokens: 4},
		peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Busy, Message: "full", RetryAt: noon, CrashID: "r/one"},
		peer.Refusal{},
		peer.Ack{},
		peer.Drained{Runner: "r", Epoch: 3},
		peer.ConfigVersion{Version: 9},
		peer.ConfigRequest{After: 9},
		peer.ConfigRequest{Snapshot: 200, Part: 3},
		peer.ConfigResponse{Version: 9, Patches: []peer.Patch{{Number: 8, Data: []byte{1}}, {Number: 9, Data: []byte{2}}}},
		peer.ConfigResponse{Version: 300, Snapshot: 300, Manifest: []byte{3}},
		peer.ConfigResponse{Version: 300, Snapshot: 300, Part: []byte{4}},
		peer.PermitRequest{Request: load.Request{Host: "entry-1/a", Epoch: 2, Sequence: 3, Held: []uint64{7}, Pending: []load.PendingLoad{{Runner: "r", Ref: fees}}}},
		peer.PermitResponse{Reply: load.Reply{Epoch: 2, Number: 4, Grants: []load.Grant{{Permit: 7, Runner: "r", Ref: fees}}, Rate: 1.5}},
		peer.Suspect{Fingerprint: "f", CrashID: "r/i"},
		peer.LoadRequest{Runner: "r", Model: "m", Adapter: "a"},
		peer.LoadResponse{Reason: "no place", Absent: true},
		peer.Digest{Digest: relay.Digest{
			From: "h", ReportsToReceiver: true, ConfigVersion: 3, Loads: []relay.TargetLoad{{Target: 1 << 31, InProgress: 2, PrefillTokens: 3}},
			SlotReports: []relay.SlotReport{{Runner: 7, Spare: -1, Age: 5}}, Uses: []relay.AdapterUse{{Owner: "o", Runner: "r", Model: "m", Adapter: "a", InProgress: 1, Started: 1}},
			CopyStates: []relay.CopyState{{Kind: "k", Revision: 9, LastChange: 8, Age: 7}},
			Notices:    []notice.Report{{Target: 5, Started: 6, Limit: 1.6, Age: 7, Leaving: true, Quiet: 8}},
			Suspects:   []suspect.Sighting{{Trait: 3, Crashes: []suspect.CrashAge{{Crash: 1, Age: 6}, {Crash: 2, Age: 7}}, Answered: 4, Trials: 2, Tried: 5}},
		}},
		peer.StreamBegan{Origin: origin.Origin{Stream: 1, Service: "s", Build: "b"}},
		peer.OriginRequest{Stream: 2, Service: "s"},
		peer.OriginResponse{Known: true, Origin: origin.Origin{Stream: 2, Service: "s", Build: "b"}, OnlyBuild: "b", Watched: 3},
		peer.ObjectsRequest{Kind: "k", After: 8},
		peer.ObjectsResponse{Data: []byte{5}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	var wire bytes.Buffer
	for _, m := range messages() {
		require.NoError(t, peer.Write(&wire, m))
	}
	for _, want := range messages() {
		got, err := peer.Read(&wire)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	_, err := peer.Read(&wire)
	require.ErrorIs(t, err, io.EOF)
}

func TestBadMessages(t *testing.T) {
	cases := []struct {
		name string
		wire []byte
		want string
	}{
		{"no kind", []byte{0, 0, 0, 0, 0}, "at most"},
		{"unknown kind", []byte{0, 0, 0, 2, 200, 0xa0}, "unknown kind"},
		{"over the limit", []byte{0xff, 0xff, 0xff, 0xff, 0}, "at most"},
		{"cut short", []byte{0, 0, 0, 9, 1, 0xa0}, "cut"},
		{"not CBOR", []byte{0, 0, 0, 2, 1, 0xff}, "decode"},
		{"bytes after the body", []byte{0, 0, 0, 3, 5, 0xa0, 0xa0}, "decode"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := peer.Read(bytes.NewReader(c.wire))
			require.ErrorContains(t, err, c.want)
		})
	}
}

// TestClaimedLengthAllocatesNothing checks that memory isn't allocated for a length
// that the sender merely claims.
func TestClaimedLengthAllocatesNothing(t *testing.T) {
	wire := binary.BigEndian.AppendUint32(nil, peer.MaxMessage)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const readers = 64
	for range readers {
		_, err := peer.Read(bytes.NewReader(append(wire, 0, 0)))
		require.Error(t, err)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(readers*peer.MaxMessage/4))
}

// TestMissingFields checks that a message without a required field is not sent.
func TestMissingFields(t *testing.T) {
	for _, m := range []peer.Message{
		peer.ConfigRequest{Part: -1},
		peer.ConfigResponse{},
		peer.ConfigResponse{Version: 9, Patches: []peer.Patch{{Data: []byte{1}}}},
		peer.ConfigResponse{Version: 9, Patches: []peer.Patch{{Number: 9}}},
		peer.Suspect{CrashID: "r/i"},
		peer.Suspect{Fingerprint: "f"},
	} {
		require.ErrorContains(t, peer.Write(io.Discard, m), "lacks", "%#v", m)
	}
}

func FuzzRead(f *testing.F) {
	for _, m := range messages() {
		var wire bytes.Buffer
		require.NoError(f, peer.Write(&wire, m))
		f.Add(wire.Bytes())
	}
	for _, landing := range landings {
		for _, g := range readGolden(f, landing) {
			f.Add(g.data)
		}
	}
	for _, extra := range []relay.Extra{
		{Quotas: []quota.Report{{Account: 7}, {}}}, {Speeds: []speed.Report{{Target: 1 << 31}}}, {Admissions: []admission.Report{{Service: 9}}},
	} {
		var wire bytes.Buffer
		require.NoError(f, peer.Write(&wire, peer.Digest{Digest: relay.Digest{From: "h"}, Extra: extra}))
		f.Add(wire.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, wire []byte) {
		m, err := peer.Read(bytes.NewReader(wire))
		if err != nil {
			return
		}
		// A message that was read can be sent again and is then unchanged. The
		// encodings are compared because a time may arrive in any time zone but is
		// always sent in UTC.
		var first, second bytes.Buffer
		require.NoError(t, peer.Write(&first, m))
		sent := bytes.Clone(first.Bytes())
		reread, err := peer.Read(&first)
		require.NoError(t, err)
		require.NoError(t, peer.Write(&second, reread))
		require.Equal(t, sent, second.Bytes())
	})
}

// TestNameOfAnyBytes guards against a caller that names an adapter by bytes that are no UTF-8, so
// that other hosts can't read what its host tells them, and all that it says is lost.
func TestNameOfAnyBytes(t *testing.T) {
	var link bytes.Buffer
	sent := peer.Digest{Digest: relay.Digest{From: "host", Uses: []relay.AdapterUse{{Runner: "r", Model: "m", Adapter: "a\xff"}}}}
	require.NoError(t, peer.Write(&link, sent))
	got, err := peer.Read(&link)
	require.NoError(t, err)
	require.Equal(t, sent, got)
}
