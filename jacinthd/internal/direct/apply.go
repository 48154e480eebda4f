package direct

import (
	"time"

	"go.uber.org/zap"

	"jacinthstage/stage/catalog"
)

// apply takes in what the platform tells, and logs what that changes.
func (p *Process) apply(event catalog.Event) {
	before := p.board.Config()
	p.board.Apply(time.Now(), event)
	switch e := event.(type) {
	case catalog.ConfigUpdated:
		p.configured(before, e.Config)
	case catalog.TargetsListed:
		p.log.Info("target: list", zap.Uint64("revision", e.Revision), zap.Int("targets", len(e.Targets)))
	case catalog.TargetsChanged:
		for _, c := range e.Changes {
			p.changed(e.Revision, c)
		}
	case catalog.VersionPublished:
		p.log.Info("adapter: new version", zap.String("model", e.Model), zap.String("adapter", e.Adapter), zap.Int("version", e.Version))
	}
	p.keeper.Wake()
}

func (p *Process) configured(before, after *catalog.Config) {
	if before != nil && after.Version <= before.Version {
		return
	}
	p.life.take(configured)
	p.handler.Metrics.version.Set(float64(after.Version))
	p.log.Info("config: in force", zap.Uint64("version", after.Version), zap.Int("services", len(after.Services)))
}

func (p *Process) changed(revision uint64, c catalog.TargetChange) {
	switch c := c.(type) {
	case catalog.TargetUpdated:
		p.log.Info("target: changed", zap.String("target", c.Target.Name), zap.Uint64("revision", revision),
			zap.Bool("ready", c.Target.State == catalog.Ready), zap.Stringer("address", c.Target.Address), zap.Uint64("orders", c.Target.AcceptedOrders))
	case catalog.TargetRemoved:
		p.log.Info("target: gone", zap.String("target", c.Name), zap.Uint64("revision", revision))
	}
}
