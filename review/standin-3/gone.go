package main

import (
	"fmt"
	"sync"
	"time"
)

// removedServers takes servers away again and again, without a word before, in two regions of 16 hosts each.
func removedServers(d *deployment, log *record, trouble bool) int {
	d.store.put("config", "main", config("records"))
	next := 0
	newRunner := func() *runner {
		r := &runner{id: fmt.Sprintf("i-%02d", next), zone: "north-a", store: d.store, log: log, slots: 6, work: 300 * time.Millisecond}
		next++
		r.start()
		return r
	}
	var runners, gone []*runner
	for range 40 {
		runners = append(runners, newRunner())
	}
	var hosts []*host
	for i := range 32 {
		hosts = append(hosts, d.newHost(fmt.Sprintf("front-%02d", i), []string{"north-a", "south-a", "north-b", "south-b"}[i%4]))
	}
	for _, h := range hosts {
		h.start()
	}
	if !awaitReady(hosts, 20*time.Second) {
		return couldNotRun(log, "hosts not ready")
	}
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	asked, served, lost := 0, 0, 0
	for range rounds {
		if trouble {
			for range leaving {
				runners[0].leave()
				gone = append(gone, runners[0])
				runners = append(runners[1:], newRunner())
			}
		}
		time.Sleep(lull)
		var wait sync.WaitGroup
		for range 7 {
			for _, h := range hosts {
				asked++
				id := fmt.Sprintf("a-%d", asked)
				wait.Go(func() {
					status := ask(log, h, id)
					mu.Lock()
					defer mu.Unlock()
					switch status {
					case 200:
						served++
					case 502:
						lost++
					}
				})
			}
			time.Sleep(130 * time.Millisecond)
		}
		wait.Wait()
		time.Sleep(2 * time.Second)
	}
	late, latest := 0, time.Duration(0)
	for _, r := range gone {
		for _, a := range r.lateArrivals() {
			if a.after > drain {
				late++
				latest = max(latest, a.after)
			}
		}
	}
	if served < asked/2 {
		return couldNotRun(log, fmt.Sprintf("only %d of %d requests were served", served, asked))
	}
	return verdict(log, late > 0, fmt.Sprintf("%d requests reached servers over %v after the store had accepted that they are gone, the last one %v after it; of %d, %d were served and %d lost (502)",
		late, drain, latest.Round(time.Millisecond), asked, served, lost))
}

const (
	exitAfter = drain + 500*time.Millisecond // a server that leaves goes on for a little longer than drainMs

	drain   = 3 * time.Second // drainMs
	rounds  = 8
	leaving = 4 // servers of 40 that are taken away at a time
	lull    = 3050 * time.Millisecond
)
