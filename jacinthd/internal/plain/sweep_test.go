package plain_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/plain"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/ledger"
	"jacinthstage/stage/store"
)

// put writes n records with a deadline, with keys that begin with name.
func put(t *testing.T, objects *memory.Store, name string, n int, until time.Time) {
	record := ledger.Record{State: ledger.Sent, Attempt: name, Deadline: until, Expires: until.Add(ledger.Retention)}
	value, err := record.Encode()
	require.NoError(t, err)
	for i := range n {
		_, err := objects.Create(t.Context(), fmt.Sprintf("%s%s%04d", ledger.KeyPrefix, name, i), value)
		require.NoError(t, err)
	}
}

// left returns the number of records whose keys begin with name.
func left(t *testing.T, objects *memory.Store, name string) int {
	n, after := 0, ""
	for {
		page, err := objects.List(t.Context(), ledger.KeyPrefix+name, after)
		require.NoError(t, err)
		n += len(page.Objects)
		if !page.More {
			return n
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
}

// sweep runs sweepers of several hosts until the test's end.
func sweep(ctx context.Context, objects store.Store, hosts ...string) {
	for _, name := range hosts {
		s := &plain.Sweeper{Store: objects, Host: name, Log: zap.NewNop()}
		go s.Run(ctx)
	}
}

func TestSweepDeletesWhatHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &memory.Store{}
		now := time.Now()
		put(t, objects, "old", 450, now.Add(-ledger.Retention))
		put(t, objects, "recent", 30, now.Add(-time.Hour))
		put(t, objects, "fresh", 450, now.Add(time.Minute))
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		sweep(ctx, objects, "a", "b", "c")
		time.Sleep(time.Hour)
		require.Zero(t, left(t, objects, "old"))
		require.Equal(t, 30, left(t, objects, "recent"))
		require.Equal(t, 450, left(t, objects, "fresh"), "a sweep gets past them")
		time.Sleep(ledger.Retention)
		require.Zero(t, left(t, objects, ""), "each record in its time")
	})
}

func TestSweepIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &memory.Store{}
		put(t, objects, "old", 1000, time.Now().Add(-ledger.Retention))
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		sweep(ctx, objects, "a", "b", "c", "d")
		before := objects.Counts()
		for range 600 {
			writes := objects.Counts().Writes
			time.Sleep(time.Second)
			require.LessOrEqual(t, objects.Counts().Writes-writes, 12, "ten deletes a second and claims")
		}
		reads := objects.Counts().Reads - before.Reads
		require.LessOrEqual(t, reads, 4*20+20, "each host reads the claim twice a minute at most, and one reads pages")
	})
}

func TestSweepGoesOnAfterAHostsEndAndAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &memory.Store{}
		put(t, objects, "old", 900, time.Now().Add(-ledger.Retention))
		first, end := context.WithCancel(t.Context())
		sweep(first, objects, "a")
		time.Sleep(2 * time.Minute)
		end()
		reached := left(t, objects, "old")
		require.Less(t, reached, 900)
		require.Positive(t, reached)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		sweep(ctx, objects, "b")
		objects.SetFaults(memory.Faults{Outage: true})
		time.Sleep(10 * time.Minute)
		objects.SetFaults(memory.Faults{})
		time.Sleep(20 * time.Minute)
		require.Zero(t, left(t, objects, "old"))
	})
}
