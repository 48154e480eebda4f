package daemon

import (
	"time"

	"go.uber.org/zap"

	"jacinthstage/stage/catalog"
)

// apply passes a change of the platform to the dispatcher and logs it.
func (p *Process) apply(event catalog.Event) {
	before := p.dispatcher.Config()
	if e, ok := event.(catalog.ConfigUpdated); ok && (before == nil || e.Config.Version > before.Version) {
		p.applyQuotas(e.Config) // before its accounts are served
	}
	for _, t := range p.dispatcher.Apply(time.Now(), event) {
		p.log.Info("target: ended", zap.String("target", t.Name), zap.Time("started", t.Started))
		p.handler.Suspects.TargetEnded(t)
	}
	switch e := event.(type) {
	case catalog.ConfigUpdated:
		p.configApplied(before, e.Config)
	case catalog.TargetsListed:
		p.targetsListed(e)
	case catalog.TargetsChanged:
		for _, c := range e.Changes {
			p.logTargetChange(e.Revision, c)
		}
	case catalog.VersionPublished:
		p.log.Info("adapter: new version", zap.String("model", e.Model), zap.String("adapter", e.Adapter), zap.Int("version", e.Version), sinceKnown(e.After))
	}
	p.controller.Wake()
}

// sinceKnown returns the log field that says for how long a change may have been there unseen. It is left out if
// that is unknown.
func sinceKnown(after time.Time) zap.Field {
	if after.IsZero() {
		return zap.Skip()
	}
	return zap.Duration("within", time.Since(after))
}

// targetsListed logs a list of targets. After the first one, the store's record tells which builds
// have come and gone unseen.
func (p *Process) targetsListed(e catalog.TargetsListed) {
	unseen := zap.Skip()
	if !e.Unseen.IsZero() {
		unseen = zap.Time("unseen", e.Unseen)
		p.builds.ReadAgain()
	}
	p.log.Info("target: targets listed", zap.Uint64("revision", e.Revision), zap.Int("targets", len(e.Targets)), unseen)
	for _, t := range e.Targets {
		p.logUnused(t)
	}
}

func (p *Process) configApplied(before, after *catalog.Config) {
	if before != nil && after.Version <= before.Version {
		return
	}
	p.lifecycle.fire(configured)
	p.handler.Metrics.ConfigVersion.Set(float64(after.Version))
	p.log.Info("config: applied", zap.Uint64("version", after.Version), zap.Int("services", len(after.Services)))
}

func (p *Process) logTargetChange(revision uint64, c catalog.TargetChange) {
	switch c := c.(type) {
	case catalog.TargetUpdated:
		p.log.Info("target: changed", zap.String("target", c.Target.Name), zap.Uint64("revision", revision),
			zap.Bool("ready", c.Target.State == catalog.Ready), zap.Stringer("address", c.Target.Address), zap.Uint64("orders", c.Target.AcceptedOrders), zap.String("build", c.Target.Build))
		p.logUnused(c.Target)
	case catalog.TargetRemoved:
		p.log.Info("target: removed", zap.String("target", c.Name), zap.Uint64("revision", revision))
	}
}

// logUnused logs why a target whose entry says that it is ready is not used.
func (p *Process) logUnused(t catalog.Target) {
	if why := p.dispatcher.WhyUnused(time.Now(), t); why != "" {
		p.log.Info("target: listed but not used", zap.String("target", t.Name), zap.Time("started", t.Started), zap.String("reason", why))
	}
}
