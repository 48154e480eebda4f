package main

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"
)

// Times of the case "joined", from when the hosts are ready.
const (
	copyAt     = 5 * time.Second        // the copy of the store is made
	newerAt    = 1 * time.Second        // after that, an engine of a newer version starts
	lossAt     = 5 * time.Second        // after the copy, power is lost
	storeAway  = 400 * time.Millisecond // for which the store is away
	startDelay = 500 * time.Millisecond // after which the processes start again
	tailTime   = 9 * time.Second        // for which clients take their streams up
	streamGap  = 30 * time.Millisecond  // between two new streams, as on the sheet
	// maxJoined is the number of streams of two versions that the rule allows.
	maxJoined = 2
)

// playJoined has an engine of a newer version of the software come beside those of the old one. Seconds
// later all hosts lose power, and the store comes back from a copy of before. Streams that have broken
// off are taken up.
func playJoined(a arena) bool {
	s := newStore()
	platform := httptest.NewServer(s)
	s.set("config", "main", rawConfig())
	zones := []string{"a", "a", "b", "b", "c", "c"}
	for i := range 6 {
		startEngine(s, a.log, fmt.Sprintf("i-old%d", i), "v1", zones[i])
	}
	var hosts []*host
	for i, zone := range zones {
		h := newHost(a.binary, a.dir, zone, platform.Listener.Addr().String(), i)
		h.start()
		hosts = append(hosts, h)
	}
	defer func() {
		for _, h := range hosts {
			h.kill()
		}
	}()
	awaitReady(hosts)
	time.Sleep(copyAt)
	s.save()
	a.log.add("copy of the store made")

	results := make(chan streamResult, 1000)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(streamGap/2 + rand.N(streamGap)):
			}
			clients.Go(func() { results <- askStream(a.log, hosts, fmt.Sprintf("r%04d", n)) })
		}
	}()
	time.Sleep(newerAt)
	startEngine(s, a.log, "i-new0", "v2", "b")
	time.Sleep(lossAt - newerAt)
	close(stop)
	if a.trouble {
		// RESTORE=0 leaves the store as it is, which shows the cause.
		restored := os.Getenv("RESTORE") != "0"
		s.leave()
		for _, h := range hosts {
			h.kill()
		}
		a.log.add("all hosts lose power, the store is away")
		time.Sleep(storeAway)
		s.comeBack(restored)
		s.set("config", "main", rawConfig())
		a.log.add("the store comes back, from the copy: %v", restored)
		time.Sleep(startDelay - storeAway)
		for _, h := range hosts {
			h.start()
		}
		a.log.add("all hosts start again")
	}
	time.Sleep(tailTime)
	clients.Wait()
	close(results)
	joined, whole := 0, 0
	for r := range results {
		if r.whole {
			whole++
		}
		if len(r.builds) > 1 {
			joined++
			a.log.add("ORDER: stream %s holds events of %s", r.id, strings.Join(r.builds, " and "))
		}
	}
	a.log.add("%d streams whole, %d of them or of the others hold events of two versions, %d are allowed", whole, joined, maxJoined)
	fmt.Printf("%d streams whole, %d hold events of two versions, %d are allowed\n", whole, joined, maxJoined)
	return joined > maxJoined
}
