package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	eventInterval  = 200 * time.Millisecond
	eventsOfStream = 15
)

// restartUnderSameID restarts a runner under its id with newer software while the store is down,
// and crashes another one.
func restartUnderSameID(d *deployment, log *record, trouble bool) int {
	var runners []*runner
	for i := range 6 {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "drafts", zone: "north-a", engine: true, store: d.store, log: log, slots: 64, events: eventsOfStream, interval: eventInterval}
		r.start("v1", true)
		runners = append(runners, r)
	}
	d.store.put("config", "main", config("drafts"))
	hosts := []*host{d.newHost("front-1", "north-a"), d.newHost("front-2", "north-a"), d.newHost("front-3", "north-b")}
	for _, h := range hosts {
		h.start()
	}
	if !awaitReady(hosts, 15*time.Second) {
		return couldNotRun(log, "hosts not ready")
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var wait sync.WaitGroup
	mixed, complete, sent := 0, 0, 0
	load := func(seconds float64, perSecond int) {
		for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
			sent++
			id, h := fmt.Sprintf("a-%d", sent), hosts[sent%len(hosts)]
			wait.Go(func() {
				a := stream(log, h, id, "/draft/x", map[string]string{"Model": modelName, wire("tokens"): "300,60", wire("prompt"): fmt.Sprintf("%x:300", sent)})
				mu.Lock()
				defer mu.Unlock()
				if len(a.versions) > 1 {
					mixed++
				}
				if a.complete {
					complete++
				}
			})
		}
	}
	load(2, 6)
	time.Sleep(4 * time.Second)
	if trouble {
		runners[1].crash()
		time.Sleep(1400 * time.Millisecond)
		log.line("the store is down")
		d.store.setMode(storeBusy)
		time.Sleep(100 * time.Millisecond)
		runners[1].start("v2", false)
	}
	load(3.9, 90)
	if trouble {
		runners[0].crash()
		time.AfterFunc(2*time.Second, func() { runners[0].start("v1", false) })
	}
	load(0.4, 90)
	if trouble {
		log.line("the store is back")
		d.store.setMode(storeServes)
	}
	load(1.5, 6)
	wait.Wait()
	for _, h := range hosts {
		if h.ended() {
			return couldNotRun(log, "a host ended: "+h.name)
		}
	}
	if complete < sent/2 {
		return couldNotRun(log, fmt.Sprintf("only %d of %d streams were complete", complete, sent))
	}
	return verdict(log, mixed > 2, fmt.Sprintf("%d of %d streams hold events of two software versions, %d were complete", mixed, sent, complete))
}
