package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/suspect"
)

var callers = []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("::ffff:10.0.0.3")}

// sent returns a request of a caller for a path, with a query and a body.
func sent(caller int, path, query, body string) suspect.Request {
	return suspect.Request{
		Exact:   suspect.ExactTrait(callers[caller], "h "+path+query, []byte(body)),
		Repeat:  suspect.RepeatTrait(callers[caller], "h", path, []byte(body)),
		Content: suspect.ContentTrait("h "+path+query, []byte(body)),
	}
}

func query(n int) string { return fmt.Sprintf("?page=%d&sort=new", n) }

// TestRepeatsWithOtherQueriesAreRefused guards against repeats that are taken for new requests
// since their query differs (BUDGET), and against a refusal of what differs from them in more.
func TestRepeatsWithOtherQueriesAreRefused(t *testing.T) {
	var l suspect.List
	l.Crashed(start, start, sent(0, "/a", query(1), ""), crash(1))
	l.Crashed(after(10), after(10), sent(0, "/a", query(2), ""), crash(2))
	require.IsType(t, suspect.Refuse{}, l.Check(after(20), sent(0, "/a", query(3), "")))
	for name, other := range map[string]suspect.Request{
		"path": sent(0, "/b", query(3), ""), "caller": sent(1, "/a", query(3), ""), "body": sent(0, "/a", query(3), "b"), "same bytes": sent(1, "/a", query(1), ""),
	} {
		require.IsType(t, suspect.Allowed{}, l.Check(after(30), other), name)
	}
}

// TestAnswerSpeaksForItsBytes checks that a sound request of another caller, or one that its
// caller sends all the time, neither clears the repeats beside it nor is refused with them.
func TestAnswerSpeaksForItsBytes(t *testing.T) {
	var l suspect.List
	sound := sent(0, "/a", "?sound", "")
	l.Answered(start, sound, false)
	for i := range 3 {
		at := after(100 * (i + 1))
		l.Crashed(at, at, sent(0, "/a", query(i), ""), crash(i))
		l.Answered(at.Add(time.Millisecond), sound, false)
		l.Answered(at.Add(time.Millisecond), sent(1, "/a", query(i), ""), false)
	}
	require.IsType(t, suspect.Refuse{}, l.Check(after(500), sent(0, "/a", query(9), "")))
	require.IsType(t, suspect.Refuse{}, l.Check(after(500), sent(0, "/a", query(1), "")))
	require.Equal(t, suspect.Allowed{Despite: sound.Repeat}, l.Check(after(500), sound))
	require.Equal(t, suspect.Allowed{}, l.Check(after(500), sent(1, "/a", query(1), "")))
}

// TestFirstAnswerClearsRepeats checks that what was at two crashes by chance is cleared by an
// answer to bytes that weren't known, on all hosts.
func TestFirstAnswerClearsRepeats(t *testing.T) {
	var l, other suspect.List
	for i := range 2 {
		l.Crashed(after(i), after(i), sent(0, "/a", query(i), ""), crash(i))
	}
	other.Merge(after(10), l.News(after(10)))
	require.IsType(t, suspect.Refuse{}, other.Check(after(20), sent(0, "/a", query(7), "")))
	require.IsType(t, suspect.Trial{}, l.Check(after(5_100), sent(0, "/a", query(8), "")))
	l.Answered(after(5_200), sent(0, "/a", query(8), ""), true)
	other.Merge(after(5_300), l.News(after(5_300)))
	for _, host := range []*suspect.List{&l, &other} {
		require.Equal(t, suspect.Allowed{}, host.Check(after(5_400), sent(0, "/a", query(7), "")))
	}
}

// TestRepeatsThatWereSoundAreRefused guards against repeats that were answered until a moment
// ago, with each of their queries, and crash targets from then on (BUDGET).
func TestRepeatsThatWereSoundAreRefused(t *testing.T) {
	var l suspect.List
	for i := range 40 {
		l.Answered(after(i), sent(0, "/a", query(i), ""), false)
	}
	crashes := 0
	for i := range 40 {
		at := after(1_000 + 100*i)
		if _, refused := l.Check(at, sent(0, "/a", query(i), "")).(suspect.Refuse); !refused {
			crashes++
			l.Crashed(at, at, sent(0, "/a", query(i), ""), crash(i))
		}
	}
	require.LessOrEqual(t, crashes, 4)
}

// A repeater is a caller whose requests for a path crash a target.
type repeater struct {
	caller   int
	path     string
	body     string
	queries  int // that it draws from
	interval time.Duration
	dueAt    time.Time
	crashes  []time.Time
	late     int
}

// A deployment is hosts that send the requests of callers to a few targets.
type deployment struct {
	random    *rand.Rand
	hosts     []*suspect.List
	backAt    []time.Time
	downTime  time.Duration
	repeaters []*repeater
	beside    bool // the repeaters send a sound request with the same path and body too
	ends      int
	besides   int // sound requests of repeaters that came while a target was up
	answers   int // those of them that were answered
	sound     int // sound requests that came while a target was up
	served    int
}

func newDeployment(seed uint64, hosts int) *deployment {
	d := &deployment{random: rand.New(rand.NewPCG(seed, 26))}
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprint("host-", i)
	}
	for i := range hosts {
		l := new(suspect.List)
		l.SetHosts(names[i], names)
		d.hosts = append(d.hosts, l)
	}
	d.backAt = make([]time.Time, 3+d.random.IntN(10))
	d.downTime = time.Duration(500+d.random.IntN(5000)) * time.Millisecond
	for i := range 1 + d.random.IntN(4) {
		r := &repeater{caller: d.random.IntN(len(callers)), path: fmt.Sprint("/bad/", i), queries: []int{1, 3, 40, 1 << 30}[d.random.IntN(4)]}
		r.body = []string{"", "body"}[d.random.IntN(2)]
		r.interval = time.Duration(20+d.random.IntN(2000)) * time.Millisecond
		r.dueAt = start.Add(time.Second + time.Duration(d.random.IntN(8000))*time.Millisecond)
		d.repeaters = append(d.repeaters, r)
	}
	return d
}

const deploymentStep = 10 * time.Millisecond

func (d *deployment) run(duration time.Duration) {
	for now := start; now.Before(start.Add(duration)); now = now.Add(deploymentStep) {
		for _, r := range d.repeaters {
			if !now.Before(r.dueAt) {
				r.dueAt = now.Add(r.interval/2 + time.Duration(d.random.Int64N(int64(r.interval))))
				d.repeat(now, r)
			}
		}
		d.sendSound(now)
		if d.beside {
			d.sendBeside(now)
		}
		if now.Sub(start)%(10*deploymentStep) == 0 {
			d.tell(now)
		}
	}
}

// up returns a target that is up, and whether there is one.
func (d *deployment) up(now time.Time) (int, bool) {
	for _, i := range d.random.Perm(len(d.backAt)) {
		if !now.Before(d.backAt[i]) {
			return i, true
		}
	}
	return 0, false
}

// repeat sends a request of a repeater through any host; it crashes its target with a sound
// request of any caller in progress, and one of the same caller for another path, if they are
// sent.
func (d *deployment) repeat(now time.Time, r *repeater) {
	request := sent(r.caller, r.path, query(d.random.IntN(r.queries)), r.body)
	host := d.hosts[d.random.IntN(len(d.hosts))]
	target, up := d.up(now)
	if !up {
		return
	}
	if _, refused := host.Check(now, request).(suspect.Refuse); refused {
		return
	}
	if len(r.crashes) >= 3 && now.Sub(r.crashes[2]) > simLate {
		r.late++
	}
	r.crashes = append(r.crashes, now)
	d.backAt[target] = now.Add(d.downTime)
	d.ends++
	c := suspect.NewCrash(fmt.Sprint(target), now)
	host.Crashed(now, now, request, c)
	bystanders := []suspect.Request{d.soundRequest(), sent(r.caller, "/own", query(d.random.IntN(5)), "")}
	if d.beside && d.random.IntN(4) == 0 {
		bystanders = append(bystanders, r.soundRequest())
	}
	for _, bystander := range bystanders {
		other := d.hosts[d.random.IntN(len(d.hosts))]
		if _, refused := other.Check(now, bystander).(suspect.Refuse); !refused {
			other.Crashed(now, now, bystander, c)
		}
	}
}

func (d *deployment) soundRequest() suspect.Request {
	if d.random.IntN(4) == 0 {
		return sent(d.random.IntN(len(callers)), "/own", query(d.random.IntN(5)), "")
	}
	path := fmt.Sprint([]string{"/good/", "/bad/"}[d.random.IntN(2)], d.random.IntN(4))
	return sent(d.random.IntN(len(callers)), path, query(d.random.IntN(40)), []string{"sound", ""}[d.random.IntN(2)])
}

// sendSound sends a request that crashes nothing, unless it is the same as one that does.
func (d *deployment) sendSound(now time.Time) {
	request := d.soundRequest()
	for _, r := range d.repeaters {
		if request.Repeat == sent(r.caller, r.path, "", r.body).Repeat {
			return
		}
	}
	if _, up := d.up(now); !up {
		return
	}
	host := d.hosts[d.random.IntN(len(d.hosts))]
	d.sound++
	if _, refused := host.Check(now, request).(suspect.Refuse); !refused {
		d.served++
		host.Answered(now, request, false)
	}
}

func (r *repeater) soundRequest() suspect.Request { return sent(r.caller, r.path, "?sound", r.body) }

// sendBeside sends sound requests of repeaters that only their query tells from the others.
func (d *deployment) sendBeside(now time.Time) {
	for _, r := range d.repeaters {
		if d.random.IntN(10) > 0 {
			continue
		}
		if _, up := d.up(now); !up {
			continue
		}
		host := d.hosts[d.random.IntN(len(d.hosts))]
		d.besides++
		decision := host.Check(now, r.soundRequest())
		if _, refused := decision.(suspect.Refuse); refused {
			continue
		}
		_, trial := decision.(suspect.Trial)
		d.answers++
		host.Answered(now, r.soundRequest(), trial)
	}
}

// tell has each host tell the others what is new, but for one message in ten.
func (d *deployment) tell(now time.Time) {
	for i, from := range d.hosts {
		news := from.News(now)
		for j, to := range d.hosts {
			if i != j && d.random.IntN(10) > 0 {
				to.Merge(now, news)
			}
		}
	}
}

// TestRepeatersAreFound plays callers whose repeats crash targets, with the same path, caller and
// body, but queries and intervals of their own, beside sound requests that share everything but
// one of these, on 1 to 40 hosts.
func TestRepeatersAreFound(t *testing.T) {
	for hosts, seeds := range map[int]int{1: 25, 3: 25, 9: 25, 40: 6} {
		for seed := range seeds {
			t.Run(fmt.Sprint(hosts, " hosts, seed ", seed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(uint64(seed), hosts)
				d.run(30 * time.Second)
				d.requireFewRepeats(t)
				t.Logf("%d repeaters, %d targets ended, %d of %d sound requests served", len(d.repeaters), d.ends, d.served, d.sound)
				require.GreaterOrEqual(t, float64(d.served), 0.9*float64(d.sound), "sound requests served")
			})
		}
	}
}

func (d *deployment) requireFewRepeats(t *testing.T) {
	for _, r := range d.repeaters {
		require.LessOrEqual(t, r.late, 3, "repeats of %s later than 4 s after the third crash, of %d", r.path, len(r.crashes))
	}
}

// TestSoundRequestBesideRepeats plays repeaters that also send a sound request all the time, with
// the same path and body. It is served, and hides the others from none of the hosts.
func TestSoundRequestBesideRepeats(t *testing.T) {
	for _, hosts := range []int{1, 3, 9} {
		for seed := range 25 {
			t.Run(fmt.Sprint(hosts, " hosts, seed ", seed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(uint64(seed), hosts)
				d.beside = true
				d.run(30 * time.Second)
				d.requireFewRepeats(t)
				t.Logf("%d repeaters, %d targets ended, %d of %d sound requests of theirs served", len(d.repeaters), d.ends, d.answers, d.besides)
				require.GreaterOrEqual(t, float64(d.answers), 0.5*float64(d.besides), "sound requests of repeaters served")
			})
		}
	}
}

// TestChanceCrashesOfOneRequest guards against a request that is refused for longer than it needs,
// since all that stands for it alone was at the same crashes: its content and its repeats.
func TestChanceCrashesOfOneRequest(t *testing.T) {
	var l suspect.List
	request := sent(0, "/a", "", "")
	for i := range 2 {
		l.Crashed(after(i), after(i), request, crash(i))
	}
	require.IsType(t, suspect.Refuse{}, l.Check(after(4_900), request))
	require.IsType(t, suspect.Trial{}, l.Check(after(5_100), request))
	l.Answered(after(5_200), request, true)
	require.Equal(t, suspect.Allowed{}, l.Check(after(5_300), request))
}

// TestRepeatsAreClearedAgain guards against a caller whose requests differ in the query each time,
// and are refused for a day after two pairs of crashes by chance, minutes apart.
func TestRepeatsAreClearedAgain(t *testing.T) {
	var l suspect.List
	for round := range 3 {
		at := 30_000 * round
		for i := range 2 {
			l.Crashed(after(at+i), after(at+i), sent(0, "/a", query(10*round+i), ""), crash(10*round+i))
		}
		require.IsType(t, suspect.Refuse{}, l.Check(after(at+10), sent(0, "/a", query(10*round+2), "")))
		require.IsType(t, suspect.Trial{}, l.Check(after(at+5_100), sent(0, "/a", query(10*round+3), "")))
		l.Answered(after(at+5_200), sent(0, "/a", query(10*round+3), ""), true)
		require.Equal(t, suspect.Allowed{}, l.Check(after(at+5_300), sent(0, "/a", query(10*round+4), "")))
	}
}
