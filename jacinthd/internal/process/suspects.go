package process

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"jacinthstage/jacinthd/internal/peer"
)

const (
	// notifyTimeout limits the time to notify all peers of a crash.
	notifyTimeout = time.Second
	// maxConcurrentCalls is the maximum number of peers that are notified at the
	// same time.
	maxConcurrentCalls = 32
)

// notifyPeers notifies the members of all regions of a crash. It returns once all
// have been notified or the time limit has passed. A host that could not be notified
// finds the crash later in the object API.
func (p *Process) notifyPeers(fingerprint, crash string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, m := range p.loop.Peers() {
		group.Go(func() error {
			_, err := p.link.Call(ctx, m.Peer, m.Name, peer.Suspect{Fingerprint: fingerprint, CrashID: crash})
			return err
		})
	}
	_ = group.Wait()
}
