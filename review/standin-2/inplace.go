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

const (
	downTime = 2 * time.Second        // for which crashed engines are down
	crashGap = 100 * time.Millisecond // from when they have written their entries to the next crash
	waves    = 4                      // of crashes
	perWave  = 2                      // engines, a quarter of all
)

// playInPlace has the engines crash, one quarter after the other. They come back under their ids with a
// newer version of the software. Streams go on elsewhere.
func playInPlace(a arena) bool {
	s := newStore()
	platform := httptest.NewServer(s)
	s.set("config", "main", rawConfig())
	zones := []string{"a", "a", "b", "b", "c", "c"}
	var engines []*engine
	for i := range 4 * perWave {
		engines = append(engines, startEngine(s, a.log, fmt.Sprintf("i-%d", i), "v1", zones[i%len(zones)]))
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
	results := make(chan streamResult, 10000)
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
	time.Sleep(lossAt)
	suffix := ""
	if os.Getenv("NEWID") == "1" { // the engines come back under other ids, which shows the cause
		suffix = "b"
	}
	for i := range waves {
		crashed := engines[i*perWave : (i+1)*perWave]
		if a.trouble {
			for _, e := range crashed {
				e.crash()
			}
		}
		time.Sleep(downTime)
		if a.trouble {
			for _, e := range crashed {
				startEngineAt(s, a.log, e.name+suffix, "v2", e.zone, e.address)
			}
		}
		time.Sleep(crashGap)
	}
	close(stop)
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
	fmt.Printf("%d streams whole, %d hold events of two versions, %d are allowed\n", whole, joined, maxJoined)
	return joined > maxJoined
}
