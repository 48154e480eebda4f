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
	refused  *prometheus.CounterVec
	short    *prometheus.GaugeVec

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

// QuotaRefused counts a request that was refused since its account has used up its quota.
func (m *Host) QuotaRefused(account string) {
	m.accounts.refused.WithLabelValues(m.accounts.label(account)).Inc()
}

// SetQuotaShort sets whether the quota of an account is used up.
func (m *Host) SetQuotaShort(account string, short bool) {
	value := 0.0
	if short {
		value = 1
	}
	m.accounts.short.WithLabelValues(m.accounts.label(account)).Set(value)
}
