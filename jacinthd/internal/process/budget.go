package process

import (
	"time"

	"jacinthstage/stage/retry"
)

// retryBudget holds the retry budget of each service, measured on this host's
// clock.
type retryBudget struct{ budgets retry.Budgets }

// Succeeded records a request of the service that was answered.
func (b *retryBudget) Succeeded(service string) { b.budgets.CountRequest(time.Now(), service) }

// Retry takes one retry from the service's budget. It returns false if the budget
// is exhausted.
func (b *retryBudget) Retry(service string) bool { return b.budgets.Take(time.Now(), service) }
