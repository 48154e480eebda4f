package process

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"jacinthstage/jacinthd/internal/peer"
)

const (
	// tellTime is the longest that all peers are told of a crash.
	tellTime = time.Second
	// tellers is how many peers are told at once.
	tellers = 32
)

// tell tells the members of all regions of a crash, and returns once they know
// or could not be told in time. The crash's object tells those later.
func (p *Process) tell(key, crash string) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTime)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(tellers)
	for _, m := range p.loop.Peers() {
		group.Go(func() error {
			_, err := p.link.Call(ctx, m.Peer, m.Name, peer.Suspect{Fingerprint: key, CrashID: crash})
			return err
		})
	}
	_ = group.Wait()
}
