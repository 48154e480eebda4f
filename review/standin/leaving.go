package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// leavingCase takes runners away at short notice, one after the other, while one in twenty
// answers has neither a length nor chunks.
func leavingCase(s *site) error {
	const (
		events   = 150
		every    = 40 * time.Millisecond
		unframed = 20
		clients  = 120
		notice   = 2 * time.Second
		rounds   = 4
	)
	args := []string{"-engine", "-slots", "64", "-events", fmt.Sprint(events), "-every", every.String(), "-unframed", fmt.Sprint(unframed)}
	var runners []*server
	started := 0
	start := func() error {
		started++
		r, err := s.startRunner(fmt.Sprintf("i-%d", started), "assessor", "clyde-a", args...)
		runners = append(runners, r)
		return err
	}
	for range 3 {
		if err := start(); err != nil {
			return err
		}
	}
	for _, zone := range []string{"clyde-a", "clyde-b"} {
		if _, err := s.startHost("front-"+zone+"-1", zone, s.near); err != nil {
			return err
		}
	}
	if err := s.awaitHosts(); err != nil {
		return err
	}
	var mu sync.Mutex
	var ended []answer
	stop := make(chan struct{})
	var clientsDone sync.WaitGroup
	for range clients {
		clientsDone.Go(func() {
			time.Sleep(rand.N(3 * time.Second))
			s.loop(stop, nil, pause(20*time.Millisecond), func() call {
				return call{id: newID(), method: "POST", path: "/draft/x", model: "m0", body: "text", budget: 15 * time.Second}
			}, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, a)
			})
		})
	}
	time.Sleep(8 * time.Second)
	for range rounds {
		r := runners[0]
		runners = runners[1:]
		if s.trouble != "0" {
			fmt.Fprintf(r.input, "drain %d\n", notice.Milliseconds())
			time.Sleep(notice)
			r.kill()
			s.note("runner %s is gone", r.name)
		} else {
			runners = append(runners, r)
			time.Sleep(notice)
		}
		time.Sleep(4 * time.Second)
		if s.trouble != "0" {
			if err := start(); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clientsDone.Wait()
	whole := 0
	last := fmt.Sprintf("%d of %d", events, events)
	for _, a := range ended {
		switch {
		case a.status == 200 && a.complete && lastEvent(a.body) == last:
			whole++
		case a.status == 200 && a.complete:
			run := s.run(a.id)
			s.breaks("%s of runner %s ended as complete at %.3f, after event %s", a.id, run.runner, s.at(a.ended), lastEvent(a.body))
		}
	}
	s.note("%d attempts, %d whole streams", len(ended), whole)
	if whole == 0 {
		return fmt.Errorf("no stream was served")
	}
	return nil
}
