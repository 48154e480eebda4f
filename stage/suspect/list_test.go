package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/suspect"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func crash(n int) suspect.Crash {
	return suspect.NewCrash(fmt.Sprint("runner", n), time.UnixMilli(1))
}

func trait(name string) suspect.Trait { return suspect.ContentTrait("", []byte(name)) }

func traits(names ...string) []suspect.Trait {
	var all []suspect.Trait
	for _, name := range names {
		all = append(all, trait(name))
	}
	return all
}

func request(names ...string) suspect.Request { return suspect.Request{Parts: traits(names...)} }

// answered returns which of the refused traits an answer has cleared.
func answered(l *suspect.List, at time.Time, names ...string) []suspect.Trait {
	var out []suspect.Trait
	for _, c := range l.Answered(at, request(names...), false) {
		if c.Refused {
			out = append(out, c.Trait)
		}
	}
	return out
}

func refused(l *suspect.List, name string) bool { return l.IsRefused(trait(name)) }

func crashed(l *suspect.List, at time.Time, crash suspect.Crash, names ...string) []suspect.Trait {
	return l.Crashed(at, at, request(names...), crash)
}

// TestSecondCrashRefuses checks that a trait is refused after its second crash, and
// that the same crash, seen twice, counts once.
func TestSecondCrashRefuses(t *testing.T) {
	var l suspect.List
	require.True(t, l.Empty())
	require.Empty(t, crashed(&l, start, crash(1), "a"))
	require.Empty(t, crashed(&l, start, crash(1), "a"))
	require.False(t, refused(&l, "a"))
	require.Equal(t, traits("a"), crashed(&l, after(10), crash(2), "a"))
	require.True(t, refused(&l, "a"))
	require.Equal(t, 2, l.Crashes(trait("a")))
}

// TestAnswerClearsTrait checks that an answer drops the crashes before it, also those
// that other hosts report late.
func TestAnswerClearsTrait(t *testing.T) {
	var l suspect.List
	crashed(&l, start, crash(1), "a")
	require.Empty(t, answered(&l, after(50), "a"))
	require.Zero(t, l.Crashes(trait("a")))
	report := func(age uint64, first int) []suspect.Sighting {
		return []suspect.Sighting{{Trait: trait("a"), Crashes: []suspect.CrashAge{{Crash: crash(first), Age: age}, {Crash: crash(first + 1), Age: age}}}}
	}
	l.Merge(after(100), report(90, 0))
	require.Zero(t, l.Crashes(trait("a")), "the crashes were before the answer")
	l.Merge(after(100_000), report(10, 2))
	require.True(t, refused(&l, "a"))
	require.Equal(t, traits("a"), answered(&l, after(100_100), "a"))
	require.False(t, refused(&l, "a"))
}

// TestBystanderIsServed checks that a request that was in progress at two crashes of
// another request is not refused.
func TestBystanderIsServed(t *testing.T) {
	var l suspect.List
	for i := range 2 {
		crashed(&l, after(i), crash(i), "culprit")
		crashed(&l, after(i), crash(i), "bystander")
	}
	require.True(t, refused(&l, "bystander"), "nothing tells them apart yet")
	crashed(&l, after(5), crash(3), "culprit")
	require.True(t, refused(&l, "culprit"))
	require.False(t, refused(&l, "bystander"))
}

// TestTwoCausesAreRefused checks that a trait that explains some crashes does not hide
// another one that causes further ones.
func TestTwoCausesAreRefused(t *testing.T) {
	var l suspect.List
	for i := range 4 {
		crashed(&l, after(i), crash(i), "one", fmt.Sprint("content", i))
	}
	crashed(&l, after(4), crash(0), "two")
	crashed(&l, after(5), crash(10), "two")
	require.False(t, refused(&l, "two"))
	crashed(&l, after(6), crash(11), "two")
	require.True(t, refused(&l, "two"))
	require.True(t, refused(&l, "one"))
}

// TestRefusedTraitReachesEveryHost has hosts in a chain, each of which talks to its
// neighbours only, loses half of the messages between them and starts some of them
// anew. While one host remains, all of them refuse the trait within seconds.
func TestRefusedTraitReachesEveryHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*suspect.List, rapid.IntRange(2, 8).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = new(suspect.List)
		}
		crashed(hosts[0], start, crash(1), "a")
		crashed(hosts[len(hosts)-1], start, crash(2), "a")
		for i := range rapid.IntRange(0, 50).Draw(t, "others") {
			crashed(hosts[0], start, crash(1), fmt.Sprint("other", i))
		}
		lossy := rapid.IntRange(0, 20).Draw(t, "lossy")
		for round := range 100 {
			now := after(round * 100)
			for i := range len(hosts) - 1 {
				for _, pair := range [][2]int{{i, i + 1}, {i + 1, i}} {
					if round < lossy && rapid.Bool().Draw(t, "lost") {
						continue
					}
					news := hosts[pair[0]].News(now)
					require.LessOrEqual(t, len(news), 16)
					hosts[pair[1]].Merge(now, news)
				}
			}
			if round == 50 {
				hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "restarted")] = new(suspect.List)
			}
		}
		for i, h := range hosts {
			require.True(t, refused(h, "a"), "host %d", i)
		}
	})
}

// TestRefusalExpires checks that traits are forgotten.
func TestRefusalExpires(t *testing.T) {
	var l suspect.List
	l.Restore(start, trait("a"), []suspect.Crash{crash(1), crash(2)})
	record, ok := l.Record(trait("a"))
	require.True(t, ok)
	require.Equal(t, 1, l.Sweep(record.Expires.Add(-time.Second)))
	require.Zero(t, l.Sweep(record.Expires))
	require.False(t, refused(&l, "a"))
	require.True(t, l.Empty())
	require.Empty(t, l.News(record.Expires))
}

// TestPopularTraitIsServed guards against the refusal of a part that many requests share
// and that was in progress at several crashes by chance: what was answered moments before,
// on this host or another one, did not cause them.
func TestPopularTraitIsServed(t *testing.T) {
	var l, other suspect.List
	answered(&l, start, "popular")
	crashed(&l, after(10), crash(1), "popular")
	crashed(&l, after(20), crash(2), "popular")
	require.False(t, refused(&l, "popular"))

	crashed(&other, after(30), crash(3), "popular")
	crashed(&other, after(30), crash(4), "popular")
	require.True(t, refused(&other, "popular"))
	l.Merge(after(40), other.News(after(40)))
	require.False(t, refused(&l, "popular"))
	other.Merge(after(50), l.News(after(50)))
	require.False(t, refused(&other, "popular"), "it hears of the answer")

	crashed(&l, after(90_000), crash(5), "popular")
	crashed(&l, after(90_010), crash(6), "popular")
	require.True(t, refused(&l, "popular"), "no answer for over a minute")
}

// TestAnsweredTraitsAreBounded checks that the memory of answers is bounded: the
// latest ones are kept.
func TestAnsweredTraitsAreBounded(t *testing.T) {
	var l suspect.List
	const many = 70_000
	for i := range many {
		answered(&l, start, fmt.Sprint(i))
	}
	for _, i := range []int{0, many - 1} {
		crashed(&l, after(10), crash(1), fmt.Sprint(i))
		crashed(&l, after(10), crash(2), fmt.Sprint(i))
	}
	require.True(t, refused(&l, "0"))
	require.False(t, refused(&l, fmt.Sprint(many-1)))
}

// TestCrashIsLearnedOnce guards against crashes that hosts learn of and clear again and
// again, since messages take their time and the ages in them come out too low: a crash that
// was just at the end of the time in which an answer exempts it.
func TestCrashIsLearnedOnce(t *testing.T) {
	hosts := make([]*suspect.List, 6)
	for i := range hosts {
		hosts[i] = new(suspect.List)
	}
	answered(hosts[0], start, "p")
	crashed(hosts[1], after(1990), crash(1), "p")
	learned := 0
	for ms := 2000; ms < 30_000; ms += 100 {
		for i := range hosts {
			for j := range hosts {
				if i == j {
					continue
				}
				news := hosts[i].News(after(ms))
				learned += len(hosts[j].Merge(after(ms+10*(i+j)), news))
			}
		}
	}
	require.LessOrEqual(t, learned, 5)
}
