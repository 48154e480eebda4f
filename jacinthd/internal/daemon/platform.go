package daemon

import (
	"context"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/mirror"
)

// A Follower watches the platform for changes.
type Follower interface {
	// Follow passes each change to sink until ctx ends. It calls sink from several
	// goroutines. info returns the values that determine how often Follow reads
	// the store.
	Follow(ctx context.Context, sink func(catalog.Event), info func() mirror.ReaderInfo)
	// Refresh triggers an immediate read of the configuration.
	Refresh()
	// CatchUp returns once all changes of targets that were acknowledged before the call have
	// been passed to the sink of Follow. It fails if the platform doesn't tell by the end of ctx.
	CatchUp(ctx context.Context) error
}
