package suspect_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/suspect"
)

// TestTraitsOfBuilds guards against hosts of two builds that tell each other of crashes under
// names that the other doesn't know. Contents and parts are as in 0c2534b, repeats and exact
// requests as in the first build that has them.
func TestTraitsOfBuilds(t *testing.T) {
	caller := netip.MustParseAddr("10.0.0.1")
	for want, trait := range map[string]suspect.Trait{
		"a17371f7e463cad4": suspect.ContentTrait("one.example /a?b=c", []byte("body")),
		"4fdfa15f59f3c513": suspect.ContentTrait("h /", nil),
		"e8fc8c8efd26dd7d": suspect.PartTrait(0xbad),
		"7e9efd18c8198558": suspect.RepeatTrait(caller, "one.example", "/a", []byte("body")),
		"7e9d32d0319e681a": suspect.ExactTrait(caller, "one.example /a?b=c", []byte("body")),
	} {
		require.Equal(t, want, trait.String())
	}
	require.Equal(t, suspect.RepeatTrait(caller, "h", "/", nil), suspect.RepeatTrait(netip.MustParseAddr("::ffff:10.0.0.1"), "h", "/", nil))
}

// TestCrashesCountOverBuilds guards against three crashes for each build in place of three in
// all: hosts of builds before issue 26 tell of contents only, and pass on what they don't know.
func TestCrashesCountOverBuilds(t *testing.T) {
	request := sent(0, "/a", query(1), "")
	seenByEarlier := []suspect.Sighting{{Trait: request.Content, Crashes: []suspect.CrashAge{{Crash: crash(1), Age: 10}}}}

	var later suspect.List
	later.Merge(after(10), seenByEarlier)
	require.IsType(t, suspect.Allowed{}, later.Check(after(20), request))
	require.Contains(t, later.Crashed(after(30), after(30), request, crash(2)), request.Content)
	require.IsType(t, suspect.Refuse{}, later.Check(after(40), request))

	var earlier suspect.List // as a host of an earlier build, which forms contents only
	earlier.Merge(after(50), later.News(after(50)))
	require.IsType(t, suspect.Refuse{}, earlier.Check(after(60), suspect.Request{Content: request.Content}))
	var passedOn suspect.List
	passedOn.Merge(after(70), earlier.News(after(70)))
	require.Equal(t, 1, passedOn.Crashes(request.Repeat), "an earlier build passes on what it doesn't know")
}
