package quota_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"jacinthstage/stage/quota"
)

const loweredWindow = 8 * time.Second

// A change of a limit takes effect at a time after the first one.
type change struct {
	after time.Duration
	limit quota.Limit
}

// idleKeeper returns the keeper of a host alone that has earned under a limit until the returned
// time, and sent nothing.
func idleKeeper(limit quota.Limit) (*quota.Keeper, time.Time) {
	k := &quota.Keeper{Self: "h0", Start: 1, Bound: quota.Bound{Window: loweredWindow, Over: 0.1, Slack: 100}}
	k.SetHosts(start, []string{"h0"})
	k.SetLimits(start, map[string]quota.Limit{"a": limit})
	now := start
	for now.Before(start.Add(40 * time.Second)) {
		k.Confirm(now)
		now = now.Add(time.Second)
	}
	return k, now
}

// sendAll sends as many requests as the keeper allows within a window, and returns their number.
func sendAll(k *quota.Keeper, from time.Time) (sent int) {
	for now := from; now.Before(from.Add(loweredWindow)); now = now.Add(100 * time.Millisecond) {
		k.Confirm(now)
		for {
			d, ok := k.Reserve(now, "a", 0, true, true).(quota.Accepted)
			if !ok || !k.Send(now, &d.Reservation) {
				break
			}
			sent++
		}
	}
	return sent
}

// TestLoweredLimitBindsAfterOneWindow guards against requests beyond a limit that was lowered over
// a window ago, with credit that was earned under the limit before it (QUOTA).
func TestLoweredLimitBindsAfterOneWindow(t *testing.T) {
	high, middle, low := quota.Limit{Rate: 10, Burst: 1000}, quota.Limit{Rate: 5, Burst: 500}, quota.Limit{Rate: 1, Burst: 10}
	for name, changes := range map[string][]change{
		"once":                    {{0, low}},
		"burst alone":             {{0, quota.Limit{Rate: 10, Burst: 10}}},
		"twice in a second":       {{0, middle}, {500 * time.Millisecond, low}},
		"raised and lowered":      {{0, low}, {500 * time.Millisecond, high}, {time.Second, low}},
		"lowered while it counts": {{0, middle}, {4 * time.Second, low}},
	} {
		t.Run(name, func(t *testing.T) {
			k, now := idleKeeper(high)
			last := changes[len(changes)-1]
			for _, c := range changes {
				k.Confirm(now.Add(c.after))
				k.SetLimits(now.Add(c.after), map[string]quota.Limit{"a": c.limit})
			}
			allowed := (last.limit.Rate*loweredWindow.Seconds()+last.limit.Burst)*1.1 + 100
			// A lower limit binds one window after the last host must have learned of it.
			sent := sendAll(k, now.Add(last.after+loweredWindow))
			t.Logf("sent %d, allowed %.1f", sent, allowed)
			require.LessOrEqual(t, float64(sent), allowed)
		})
	}
}

// TestLateHostsCreditEndsWithFormerLimit guards against credit of a lowered limit that comes from a
// host that hasn't learned of the lower one yet, and outlives the window after which that binds (QUOTA).
func TestLateHostsCreditEndsWithFormerLimit(t *testing.T) {
	k, now := idleKeeper(quota.Limit{Rate: 10, Burst: 1000})
	k.SetHosts(now, []string{"h0", "h1"})
	k.Confirm(now)
	k.SetLimits(now, map[string]quota.Limit{"a": {Rate: 1, Burst: 10}})
	k.Receive(now.Add(time.Second), []quota.Report{{
		Account: uint32(xxhash.Sum64String("a")), Kind: quota.Grant, From: quota.HashHost("h1"), To: quota.HashHost("h0"), Amount: 20_000, TTL: 30_000,
	}})
	k.Confirm(now.Add(time.Second))
	require.Greater(t, k.Levels(now.Add(2 * time.Second))[0].Held, 20.0)
	held := k.Levels(now.Add(loweredWindow))[0].Held
	t.Logf("held %.1f after a window", held)
	require.Less(t, held, 10.0)
}
