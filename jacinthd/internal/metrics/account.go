package metrics

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxAccounts is the number of client accounts that are counted by name, so that the metrics
	// stay small whatever the configuration holds.
	maxAccounts = 100
	// otherAccounts is the name under which further ones are counted.
	otherAccounts = "(other)"
)

// An accountCounter counts the requests of client accounts.
type accountCounter struct {
	requests *prometheus.CounterVec

	mu    sync.Mutex
	named map[string]bool
}

func (c *accountCounter) add(account string, status int) {
	c.requests.WithLabelValues(c.label(account), strconv.Itoa(status/100)+"xx").Inc()
}

// label returns the name under which an account is counted.
func (c *accountCounter) label(account string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.named[account] {
		return account
	}
	if len(c.named) >= maxAccounts {
		return otherAccounts
	}
	if c.named == nil {
		c.named = make(map[string]bool)
	}
	c.named[account] = true
	return account
}
