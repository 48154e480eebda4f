package daemon

import (
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/quota"
)

// applyQuotas sets the limits of the client accounts of a configuration.
func (p *Process) applyQuotas(config *catalog.Config) {
	limits := make(map[string]quota.Limit)
	for _, a := range config.Accounts.Accounts() {
		limits[a.Name] = a.Limit
	}
	p.quotas.SetLimits(boottime.Now(), limits)
}

// maxQuotaLines is the largest number of accounts that are logged in a second.
const maxQuotaLines = 20

// sweepQuotas records that the lease is valid, and reports the accounts whose quota is used up.
func (p *Process) sweepQuotas() {
	now := boottime.Now()
	if p.controller.Valid() {
		p.quotas.Confirm(now)
	}
	lines := 0
	for _, l := range p.quotas.Levels(now) {
		p.handler.Metrics.SetQuotaShort(l.Account, l.Short)
		if l.Short && lines < maxQuotaLines {
			lines++
			p.log.Info("quota: used up", zap.String("account", l.Account), zap.Float64("held", l.Held), zap.Float64("pool", l.Pool), zap.Float64("demand", l.Demand))
		}
	}
}
