package process

import (
	"time"

	"jacinthstage/stage/retry"
)

// budget is the retry budget of each service, by the clock of this host.
type budget struct{ budgets retry.Budgets }

// Succeeded counts a request that was answered.
func (b *budget) Succeeded(service string) { b.budgets.CountRequest(time.Now(), service) }

// Retry takes the leave for one retry; false where the budget is spent.
func (b *budget) Retry(service string) bool { return b.budgets.Take(time.Now(), service) }
