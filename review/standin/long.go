package main

import (
	"fmt"
	"sync"
	"time"
)

// longCase ends a runner's process while it sends an answer of 3 MB that has neither a length
// nor chunks.
func longCase(s *site) error {
	const (
		size  = 3 << 20
		every = 20 * time.Millisecond // 64 KB each
	)
	var runners []*server
	for i := range 3 {
		r, err := s.startRunner(fmt.Sprintf("i-%d", i), "registry", "clyde-a", "-slots", "6", "-size", fmt.Sprint(size), "-every", every.String(), "-unframed", "1")
		if err != nil {
			return err
		}
		runners = append(runners, r)
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
	for i := range 12 {
		clientsDone.Go(func() {
			time.Sleep(time.Duration(i) * 80 * time.Millisecond)
			s.loop(stop, nil, pause(20*time.Millisecond), func() call {
				return call{id: newID(), method: "GET", path: "/lookup/x", budget: 6 * time.Second}
			}, func(a answer) {
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, a)
			})
		})
	}
	time.Sleep(6 * time.Second)
	if s.trouble != "0" {
		runners[0].kill()
		s.note("runner %s has crashed", runners[0].name)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clientsDone.Wait()
	whole := 0
	for _, a := range ended {
		switch {
		case a.status == 200 && a.complete && a.length == size:
			whole++
		case a.status == 200 && a.complete:
			s.breaks("%s of runner %s ended as complete at %.3f with %d of %d bytes", a.id, s.run(a.id).runner, s.at(a.ended), a.length, size)
		}
	}
	s.note("%d attempts, %d whole answers", len(ended), whole)
	if whole == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
