// Package quota limits what all hosts together send for one client account.
//
// The model is that of credit: the right to send a number of units until a deadline. Each listed
// host earns an equal part of an account's rate, whether or not it is in touch with others, and
// sends a request only if it holds credit for it. Credit that a host doesn't need goes to the
// account's collector, a host that all choose in the same way by themselves, which hands it to the
// hosts that need more than their part. Credit is moved, never copied, and a transfer that is lost
// is lost credit.
//
// Two things follow. Whatever hosts do, all that they send in a window of the length W was earned
// in the window or within the lifetime L of credit before it, hence at most rate x (W + L). L is
// chosen so that this lies within the bound (see Bound.life). And no host needs to know who the
// collector is, or whether there are two, for that to hold: a wrong choice costs credit that lapses.
//
// The package has no clock. All times are those of one clock of the host that also counts the time
// in which the host is suspended.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Unit is what a limit counts.
type Unit uint8

// The units of limits.
const (
	Requests Unit = iota
	Tokens        // of the prompt and of the longest answer
)

// A Limit is the quota of a client account. The zero value sets none.
type Limit struct {
	Unit      Unit
	Rate      float64 // units per second; 0 sets no limit
	Burst     float64 // units beyond the rate, once
	PlainCost float64 // units of a request that doesn't tell its tokens, where Unit is Tokens
}

// Cost returns what a request of a number of tokens counts. A request that tells none has 0.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return l.PlainCost
	}
}

// A Bound says how far all hosts together may exceed a limit: in any Window they send at most
// (rate x Window + burst) x (1 + Over) + Slack.
type Bound struct {
	Window time.Duration
	Over   float64 // fraction
	Slack  float64 // units
}

// The bound where none is set.
const (
	DefaultWindow = 10 * time.Second
	DefaultOver   = 0.1
)

const (
	// lifePart is the part of what the bound allows beyond the rate that credit may live for. The
	// rest is for hosts that differ for a moment in how many they are, and for credit on its way
	// while a host is frozen.
	lifePart = 0.92
	// debtPart is the part that all hosts together may always owe.
	debtPart = 0.05
	maxLife  = 30 * time.Second
	// minLife is the least lifetime. A bound that allows less can't be kept, but for a host alone.
	minLife = 250 * time.Millisecond
)

// window returns the bound's window.
func (b Bound) window() time.Duration {
	if b.Window <= 0 {
		return DefaultWindow
	}
	return b.Window
}

// life returns how long credit under a limit lives: all that is sent in a window was earned in
// the window or that time before it.
func (b Bound) life(l Limit) time.Duration {
	seconds := min(max(lifePart*b.beyond(l)/l.Rate, minLife.Seconds()), maxLife.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// beyond returns what the bound allows in a window beyond what is earned in it.
func (b Bound) beyond(l Limit) float64 {
	if b == (Bound{}) {
		b = Bound{Window: DefaultWindow, Over: DefaultOver}
	}
	return b.Over*l.Rate*b.Window.Seconds() + (1+b.Over)*l.Burst + b.Slack
}

// A Host identifies a host by the hash of its name.
type Host uint32

// HashHost returns the Host of a name.
func HashHost(name string) Host { return Host(xxhash.Sum64String(name)) }

// A Kind is the kind of a Report.
type Kind uint8

// The kinds of reports.
const (
	Alive     Kind = iota // From may be a collector and is there
	Need                  // From gives credit to a collector, and tells what it needs
	Grant                 // a collector gives credit to To
	Surplus               // the same, of what would lapse otherwise
	Allowance             // a collector lets each host owe Amount
)

// A Report is what one host tells another of the quota of an account. It may pass through others.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Account  uint32   // hash of the account's name
	Kind     Kind
	From, To Host
	Start    uint64 // identifies the process of From; a later one has a greater number
	Sequence uint64 // of Alive and Allowance
	Amount   uint64 // credit given or allowed, in thousandths of a unit
	TTL      uint64 // milliseconds for which it is valid yet
	Firm     uint64 // credit that From needs for requests that wait, beside what it has, in thousandths
	Want     uint64 // the same, with that for requests that it expects
	Spare    uint64 // credit that it could use for the next request, in thousandths
	Lump     uint64 // mean cost of a request there, in thousandths
	Received uint64 // credit that the process of From has been granted so far, in thousandths
	Short    uint64 // milliseconds in which a collector expects to have credit for To; 0 if it has some
}

// milli is the number of units of reports in a unit.
const milli = 1000

func toMilli(units float64) uint64 { return uint64(max(0, units) * milli) }

// parcelRounding is what may be lost by rounding where credit arrives in several parts, in units.
const parcelRounding = 0.05
