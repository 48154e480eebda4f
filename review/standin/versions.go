package main

import (
	"fmt"
	"sync"
	"time"
)

// versionsCase names new versions of the adapters in use, one after the other, and lets the
// store forget its history meanwhile. The store holds a version of each of 3,000 adapters.
func versionsCase(s *site) error {
	const (
		adapters  = 3000
		used      = 20 // by the clients of the host in the other region
		nameEvery = 60 * time.Millisecond
		dropAfter = 2 // versions have been named
		versionMs = 5 * time.Second
		stable    = 4 * time.Second  // after a disturbance of the store
		settle    = 14 * time.Second // from the last version to the end
	)
	for i := 1; i <= adapters; i++ {
		s.store.setVersion(fmt.Sprintf("a%d", i), 1)
	}
	zones := []string{"clyde-a", "clyde-a", "clyde-a", "forth-a", "forth-a", "forth-a"}
	for i, zone := range zones {
		if _, err := s.startRunner(fmt.Sprintf("i-%d", i), "assessor", zone, "-engine", "-slots", "64", "-events", "8", "-every", "20ms"); err != nil {
			return err
		}
	}
	near, err := s.startHost("front-clyde-a-1", "clyde-a", s.near)
	if err != nil {
		return err
	}
	far, err := s.startHost("front-forth-a-1", "forth-a", s.far)
	if err != nil {
		return err
	}
	if err := s.awaitHosts(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clientsDone sync.WaitGroup
	var mu sync.Mutex
	var ended []answer
	for i := range used + 2 {
		h, adapter := far, adapterOf(i)
		if i >= used {
			h = near
		}
		clientsDone.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			s.loop(stop, h, pause(300*time.Millisecond), func() call {
				return call{id: newID(), method: "POST", path: "/draft/x", model: "m0/" + adapter, body: "text", budget: 15 * time.Second}
			}, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, a)
			})
		})
	}
	time.Sleep(12 * time.Second) // the hosts own the runners, and the adapters are loaded
	acks := make(map[string]time.Time)
	var stableFrom time.Time
	for i := range used {
		if i == dropAfter && s.trouble != "0" {
			s.store.dropHistory()
			stableFrom = time.Now().Add(stable)
			s.note("store: forgets its history")
		}
		adapter := adapterOf(i)
		revision, ack := s.store.setVersion(adapter, 2)
		acks["m0/"+adapter] = ack
		s.note("operator: version 2 of %s is acknowledged with revision %d", adapter, revision)
		time.Sleep(nameEvery)
	}
	time.Sleep(settle)
	close(stop)
	clientsDone.Wait()
	served := 0
	for _, a := range ended {
		run := s.run(a.id)
		ack, named := acks[run.model]
		if a.status == 200 && a.complete {
			served++
		}
		if ack.Before(stableFrom) {
			ack = stableFrom // the time counts while the store is stable
		}
		if named && run.version == 1 && run.began.After(ack.Add(versionMs)) {
			s.breaks("%s, sent to %s at %.3f, began at %.3f on version 1 of %s, %.1f s after version 2 was acknowledged and the store was stable", a.id, a.host, s.at(a.sent), s.at(run.began), run.model, run.began.Sub(ack).Seconds())
		}
	}
	s.note("%d attempts, %d whole streams", len(ended), served)
	if served == 0 {
		return fmt.Errorf("no stream was served")
	}
	return nil
}

// adapterOf returns the name of the i-th adapter in use, out of all 3,000.
func adapterOf(i int) string { return fmt.Sprintf("a%d", i*149%3000+1) }
