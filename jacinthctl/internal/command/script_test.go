package command_test

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthctl/internal/command"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jacinthctl": func() { os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// platformKey is where a script's environment keeps its memory store.
type platformKey struct{}

// TestScripts runs the scripts, each with a store of its own at $PLATFORM.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			s := &memory.Store{}
			server := httptest.NewServer(s.Handler())
			env.Defer(server.Close)
			env.Setenv("PLATFORM", server.URL)
			env.Values[platformKey{}] = s
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"lose":  lose,
			"fleet": fleet,
		},
	})
}

// lose has the store lose the answers of the next writes.
func lose(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	ts.Value(platformKey{}).(*memory.Store).SetFaults(memory.Faults{LoseAnswers: n})
}

// fleet puts the objects of one region with one live host and one that is gone.
func fleet(ts *testscript.TestScript, _ bool, _ []string) {
	s := ts.Value(platformKey{}).(*memory.Store)
	peer := netip.MustParseAddrPort("127.0.0.1:8002")
	value := lease.Value{Name: "entry-1", Incarnation: "i1", Generation: 1, Region: "south", Zone: "south-a", Peer: peer, Sequence: 9, ConfigVersion: 4}
	table := host.Table{MaxEpoch: 7, ConfigVersion: 1, Members: []host.Identity{{Name: "entry-1", Incarnation: "i1", Generation: 1, Peer: peer, Zone: "south-a"}},
		Rows:    []host.Row{{Runner: "runner-1", Zone: "south-a", Owner: "entry-1", Epoch: 7, PreviousOwner: "entry-2", PreviousEpoch: 3}},
		Grantor: host.Grantor{Name: "entry-1", Epoch: 5}}
	_, err := s.Create(context.Background(), lease.Key("south", "entry-1"), value.Encode())
	ts.Check(err)
	behind, late := value, value
	behind.Name, behind.ConfigVersion = "entry-3", 3
	late.Name, late.Region, late.ConfigVersion = "entry-4", "north", 0
	for _, v := range []lease.Value{behind, late} {
		_, err := s.Create(context.Background(), lease.Key(v.Region, v.Name), v.Encode())
		ts.Check(err)
	}
	_, err = s.Create(context.Background(), host.Key("south"), table.Encode())
	ts.Check(err)
	s.SetPresence(store.Presence{Name: "entry-1", State: "live", Kind: "host"})
	s.SetPresence(store.Presence{Name: "entry-2", State: "gone", Kind: "host"})
	s.SetPresence(store.Presence{Name: "runner-1", State: "leaving", Kind: "target"})
}

func TestStatusOfWrongCalls(t *testing.T) {
	cases := [][]string{{}, {"none"}, {"-none"}, {"patch"}, {"show", "widgets"}, {"audit", "x"}, {"hosts", "x"}, {"targets", "x"},
		{"leases", "x"}, {"check"}, {"version", "x"}, {"keys", "-folder", t.TempDir(), "entry-1"}}
	for _, args := range cases {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			require.Equal(t, 2, command.Run(t.Context(), args, io.Discard, io.Discard))
		})
	}
}
