package peer_test

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/suspect"
)

// busyDigest returns the digest of a relay in a deployment with as many targets, while targets
// crash and some say something of themselves.
func busyDigest(targets int) peer.Digest {
	d := relay.Digest{From: "front-serra-a-1", ReportsToReceiver: true, ConfigVersion: 1 << 20}
	for i := range targets {
		d.Loads = append(d.Loads, relay.TargetLoad{Target: relay.TargetHash(i * 2654435761), InProgress: i % 20, PrefillTokens: 100 * i, Done: i % 7})
		d.SlotReports = append(d.SlotReports, relay.SlotReport{Runner: relay.TargetHash(i * 2654435761), Spare: i % 8, Age: uint64(i)})
	}
	for i := range 16 {
		s := suspect.Sighting{Trait: suspect.Trait(1<<63 + uint64(i)), Answered: 1000, Trials: 1, Tried: 500}
		for j := range 3 {
			s.Crashes = append(s.Crashes, suspect.CrashAge{Crash: suspect.Crash(1<<62 + uint64(i+j)), Age: uint64(1000 * j)})
		}
		d.Suspects = append(d.Suspects, s)
	}
	for i := range 10 {
		d.Notices = append(d.Notices, notice.Report{Target: uint32(i * 2654435761), Started: 1 << 40, Limit: 2.5, Age: 100, Brittle: true, Tolerated: 6, Heard: 100})
	}
	return peer.Digest{Digest: d}
}

// BenchmarkDigest measures the size of a digest and the time to encode it, to decode it, and to
// decode that of a later build.
func BenchmarkDigest(b *testing.B) {
	for _, targets := range []int{23, 100, 300, 600} {
		d := busyDigest(targets)
		frame := frameOf(b, d)
		later := grownFrame(b, reflect.TypeOf(d), frame)
		b.Run(fmt.Sprint("encode/", targets), func(b *testing.B) { benchmarkWrite(b, d) })
		b.Run(fmt.Sprint("decode/", targets), func(b *testing.B) { benchmarkRead(b, frame) })
		b.Run(fmt.Sprint("later/", targets), func(b *testing.B) { benchmarkRead(b, later) })
		d.Earlier = true
		b.Run(fmt.Sprint("earlier/", targets), func(b *testing.B) { benchmarkWrite(b, d) })
	}
}

func benchmarkWrite(b *testing.B, d peer.Digest) {
	b.ReportMetric(float64(len(frameOf(b, d))), "bytes")
	for range b.N {
		_ = frameOf(b, d)
	}
}

func benchmarkRead(b *testing.B, frame []byte) {
	b.ReportMetric(float64(len(frame)), "bytes")
	for range b.N {
		_, err := peer.Read(bytes.NewReader(frame))
		require.NoError(b, err)
	}
}
