package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// stopCase stops a host as planned. A second later its settings change, which the platform
// tells it with SIGHUP. The trouble "term" leaves the SIGHUP out, "hup" the SIGTERM.
func stopCase(s *site) error {
	const (
		work       = 400 * time.Millisecond
		events     = 73
		every      = 40 * time.Millisecond
		clients    = 12 // for each host, one in three with streams
		lossSlack  = 200 * time.Millisecond
		hupAfter   = time.Second
		restart    = 500 * time.Millisecond // from the end of a process to the next one
		lastSixth  = grace * 5 / 6
		acceptTime = 3 * time.Second // of requests whose runner may be cut in the last sixth
	)
	for i := range 3 {
		if _, err := s.startRunner(fmt.Sprintf("i-%d", i), "registry", "clyde-a", "-slots", "6", "-work", work.String()); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := s.startRunner(fmt.Sprintf("e-%d", i), "assessor", "clyde-a", "-engine", "-slots", "64", "-events", fmt.Sprint(events), "-every", every.String()); err != nil {
			return err
		}
	}
	first, err := s.startHost("front-clyde-a-1", "clyde-a", s.near)
	if err != nil {
		return err
	}
	second, err := s.startHost("front-clyde-b-1", "clyde-b", s.near)
	if err != nil {
		return err
	}
	if err := s.awaitHosts(); err != nil {
		return err
	}
	var mu sync.Mutex
	var lost []answer
	served := 0
	stop := make(chan struct{})
	var clientsDone sync.WaitGroup
	for i := range 2 * clients {
		h := first
		if i >= clients {
			h = second
		}
		clientsDone.Go(func() {
			s.loop(stop, h, func() time.Duration { return 100*time.Millisecond + rand.N(500*time.Millisecond) }, func() call {
				if i%3 == 0 {
					return call{id: newID(), method: "POST", path: "/draft/x", model: "m0", body: "text", budget: 15 * time.Second}
				}
				return call{id: newID(), method: "POST", path: "/issue/x", body: "fee", budget: 6 * time.Second}
			}, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				if a.complete && a.status == 200 {
					served++
				}
				if !a.complete && !a.sent.IsZero() {
					lost = append(lost, a)
				}
			})
		})
	}
	time.Sleep(5 * time.Second)
	stopped := time.Now()
	if s.trouble != "0" && s.trouble != "hup" {
		s.signal(first, syscall.SIGTERM)
	}
	time.Sleep(hupAfter)
	if s.trouble != "0" && s.trouble != "term" {
		s.signal(first, syscall.SIGHUP)
	}
	select {
	case <-first.exited:
		time.Sleep(restart)
		if err := s.boot(first); err != nil {
			return err
		}
	case <-time.After(grace):
		if s.trouble != "0" && s.trouble != "hup" {
			s.signal(first, syscall.SIGKILL)
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clientsDone.Wait()
	s.note("%d requests served, %d channels ended without a whole answer", served, len(lost))
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	for _, a := range lost {
		run := s.run(a.id)
		switch {
		case a.host != first.name || a.sent.Before(stopped.Add(-5*time.Second)) || a.ended.After(stopped.Add(grace+time.Second)):
			s.note("not counted: %s, outside of the planned stop", a.id)
		case run.began.IsZero():
			s.note("not counted: %s, not passed on to a runner", a.id)
		case a.sent.Before(stopped.Add(acceptTime)) && a.ended.After(stopped.Add(lastSixth)):
			s.note("not counted: %s, its runner was at work in the last sixth of the grace period", a.id)
		default:
			s.breaks("%s was passed on to %s at %.3f, and its channel ended at %.3f without an answer (%v)", a.id, run.runner, s.at(run.began), s.at(a.ended), a.fault)
		}
	}
	return nil
}
