package lease_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/lease"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func self(generation uint32, sequence uint64) lease.Value {
	return lease.Value{Name: "a", Incarnation: "1", Generation: generation, Sequence: sequence}
}

func write(version uint64, generation uint32, sequence uint64) lease.Action {
	return lease.Write{Version: version, Value: self(generation, sequence)}
}

// step is one event of a test case and the actions expected from it.
type step struct {
	ms    int
	event lease.Event
	want  []lease.Action
}

var (
	started = step{0, lease.Tick{}, []lease.Action{lease.Read{}}}
	missing = step{10, lease.Missing{}, []lease.Action{write(0, 0, 1)}}
	created = step{20, lease.Wrote{Version: 5}, []lease.Action{lease.Renewed{Until: at(5510)}}}
	renewal = step{2010, lease.Tick{}, []lease.Action{write(5, 0, 2)}}
)

func TestHolder(t *testing.T) {
	earlierProcess := lease.Value{Name: "a", Incarnation: "0", Sequence: 9}
	laterProcess := lease.Value{Name: "a", Incarnation: "2", Sequence: 1}
	cases := []struct {
		name  string
		steps []step
	}{
		{"validity counts from when the write was sent", []step{started, missing,
			{3000, lease.Wrote{Version: 5}, []lease.Action{lease.Renewed{Until: at(5510)}, write(5, 0, 2)}},
		}},
		{"an answer after the end of validity renews nothing", []step{started, missing,
			{5510, lease.Wrote{Version: 5}, []lease.Action{write(5, 0, 2)}},
		}},
		{"the object of an earlier process is taken over", []step{started,
			{10, lease.Found{Version: 3, Value: earlierProcess}, []lease.Action{write(3, 0, 1)}},
		}},
		{"after a lost answer, a read finds the write and validity counts from when it was sent", []step{started, missing,
			{1000, lease.Failed{Cause: lease.Unknown}, []lease.Action{lease.Read{}}},
			{1010, lease.Found{Version: 5, Value: self(0, 1)}, []lease.Action{lease.Renewed{Until: at(5510)}}},
		}},
		{"a lost write is repeated", []step{started, missing, created, renewal,
			{3000, lease.Failed{Cause: lease.Unknown}, []lease.Action{lease.Read{}}},
			{3010, lease.Found{Version: 5, Value: self(0, 1)}, []lease.Action{write(5, 0, 3)}},
		}},
		{"a refused write is retried with backoff", []step{started, missing, created, renewal,
			{2020, lease.Failed{Cause: lease.Unavailable}, nil},
			{2269, lease.Tick{}, nil},
			{2270, lease.Tick{}, []lease.Action{write(5, 0, 3)}},
			{2280, lease.Failed{Cause: lease.Unavailable}, nil},
			{2779, lease.Tick{}, nil},
			{2780, lease.Tick{}, []lease.Action{write(5, 0, 4)}},
		}},
		{"after a pause past the end of validity, expiry is reported before the answer is handled", []step{started, missing, created, renewal,
			{5510, lease.Wrote{Version: 6}, []lease.Action{lease.Expired{}, lease.Renewed{Until: at(7510)}, write(6, 0, 3)}},
		}},
		{"a revoked lease ends the generation", []step{started, missing, created, renewal,
			{2020, lease.Failed{Cause: lease.Conflict}, []lease.Action{lease.Read{}}},
			{2030, lease.Missing{}, []lease.Action{lease.Expired{Revoked: true}, write(0, 1, 3)}},
		}},
		{"another process with the same host name ends the holder", []step{started, missing, created, renewal,
			{2020, lease.Failed{Cause: lease.Conflict}, []lease.Action{lease.Read{}}},
			{2030, lease.Found{Version: 7, Value: laterProcess}, []lease.Action{lease.Expired{Revoked: true}, lease.Replaced{}}},
			{9000, lease.Tick{}, nil},
		}},
		{"stop deletes the object", []step{started, missing, created,
			{100, lease.Stop{}, []lease.Action{lease.Delete{Version: 5}}},
			{110, lease.Deleted{}, []lease.Action{lease.Ended{}}},
		}},
		{"after a lost answer to a delete, a read finds the object missing", []step{started, missing, created,
			{100, lease.Stop{}, []lease.Action{lease.Delete{Version: 5}}},
			{1100, lease.Failed{Cause: lease.Unknown}, []lease.Action{lease.Read{}}},
			{1110, lease.Missing{}, []lease.Action{lease.Ended{}}},
		}},
		{"stop before the first write leaves no object", []step{started,
			{5, lease.Stop{}, nil},
			{10, lease.Missing{}, []lease.Action{lease.Ended{}}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := lease.Holder{Self: self(0, 0)}
			for _, s := range c.steps {
				require.Equal(t, s.want, h.Step(at(s.ms), s.event), "at %d ms", s.ms)
			}
		})
	}
}

func TestNextTickIsExpiryOrRenewal(t *testing.T) {
	h := lease.Holder{Self: self(0, 0)}
	for _, s := range []step{started, missing, created} {
		h.Step(at(s.ms), s.event)
	}
	require.Equal(t, at(2010), h.NextTick())
	h.Step(at(2010), lease.Tick{})
	require.Equal(t, at(5510), h.NextTick(), "while the answer is outstanding")
	require.True(t, h.Valid(at(5509)))
	require.False(t, h.Valid(at(5510)))
}

func TestValueRoundTrip(t *testing.T) {
	v := self(3, 8)
	decoded, err := lease.Decode(v.Encode())
	require.NoError(t, err)
	require.Equal(t, v, decoded)
	_, err = lease.Decode([]byte("no CBOR"))
	require.Error(t, err)
}

func TestObserver(t *testing.T) {
	const duration = 6 * time.Second
	type read struct {
		version        uint64
		sent, answered int
		expired        bool
	}
	cases := []struct {
		name  string
		reads []read
	}{
		{"the version is unchanged for a full lease duration", []read{{1, 0, 10, false}, {1, 3000, 3010, false}, {1, 6009, 6020, false}, {1, 6010, 6020, true}}},
		{"a read sent before the end of the duration proves nothing", []read{{1, 0, 10, false}, {1, 3000, 9000, false}}},
		{"a renewal restarts the duration", []read{{1, 0, 10, false}, {2, 4000, 4010, false}, {2, 8000, 8010, false}, {2, 10010, 10020, true}}},
		{"a gap between reads restarts the duration", []read{{1, 0, 10, false}, {1, 7000, 7010, false}, {1, 13000, 13010, false}, {1, 13020, 13030, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o lease.Observer
			for _, r := range c.reads {
				result := lease.ReadResult{Version: r.version, Sent: at(r.sent), Answered: at(r.answered)}
				require.Equal(t, r.expired, o.Observe(result, duration), "read at %d ms", r.sent)
			}
		})
	}
}

// TestDecodeValueWithoutConfigVersion decodes a lease object written by an earlier
// version, which lacks ConfigVersion.
func TestDecodeValueWithoutConfigVersion(t *testing.T) {
	v := lease.Value{Name: "entry-1", Incarnation: "i", Generation: 2, Region: "south", Zone: "a", Peer: netip.MustParseAddrPort("[::1]:1"), Sequence: 300}
	data := v.Encode()
	got, err := lease.Decode(append([]byte{data[0] - 1}, data[1:len(data)-1]...))
	require.NoError(t, err)
	require.Equal(t, v, got)
	v.ConfigVersion = 9
	got, err = lease.Decode(v.Encode())
	require.NoError(t, err)
	require.Equal(t, v, got)
	for _, bad := range [][]byte{nil, {0x86}, {0x87}, data[:len(data)-1]} {
		_, err := lease.Decode(bad)
		require.Error(t, err)
	}
}
