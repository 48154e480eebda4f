package direct

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/stage/quota"
)

const (
	// quotaCheckInterval is the time between two checks whether credit has come from other hosts.
	quotaCheckInterval = 20 * time.Millisecond
	overQuota          = "over the quota of its account"
)

// tokens returns the tokens by which a request counts; 0 if it doesn't tell them.
func (req *callerRequest) tokens() int { return req.call.InputTokens + req.call.MaxOutputTokens }

// reserveQuota reserves room for the request in the quota of the caller's account. If there is
// none, reserveQuota refuses the request and returns false. It waits only where other hosts may
// have room.
func (req *callerRequest) reserveQuota() bool {
	if req.account.Limit.Rate <= 0 {
		return true
	}
	var done func()
	until := req.arrived.Add(quota.ExchangeLimit)
	for {
		last := req.r.Context().Err() != nil || !time.Now().Before(until)
		decision := req.Quotas.Reserve(boottime.Now(), req.account.Name, req.tokens(), done != nil, last)
		switch d := decision.(type) {
		case quota.Accepted:
			req.reservation = d.Reservation
			return true
		case quota.Refused:
			req.refuseQuota(d)
			return false
		}
		if done == nil {
			done = req.Quotas.Await(req.account.Name, req.tokens())
			defer done()
		}
		time.Sleep(quotaCheckInterval)
	}
}

func (req *callerRequest) refuseQuota(d quota.Refused) {
	req.Metrics.QuotaRefused(req.account.Name)
	req.log.Debug("quota: request refused", zap.String("account", req.account.Name), zap.Int("tokens", req.tokens()),
		zap.Float64("missing", d.Missing), zap.Bool("short", d.Short))
	req.refuse(http.StatusTooManyRequests, overQuota, d.After)
}

// refuseOverQuota counts the request as it is sent. The credit that was there when it was accepted
// may have lapsed while it waited: if none comes in time, refuseOverQuota refuses the request and
// returns true.
func (req *callerRequest) refuseOverQuota() bool {
	until := time.Now().Add(min(quota.ExchangeLimit, time.Until(req.deadline)))
	for !req.Quotas.Send(boottime.Now(), &req.reservation) {
		if req.r.Context().Err() != nil || !time.Now().Before(until) {
			if req.runs > 0 {
				req.fail(overQuota, 0)
				return true
			}
			req.refuseQuota(quota.Refused{After: defaultRetryAfter, Short: true})
			return true
		}
		time.Sleep(quotaCheckInterval)
	}
	req.mayRun = true
	return false
}

// notSent takes the request back from the quota until it is sent again, unless an earlier attempt
// may have run it.
func (req *callerRequest) notSent() {
	if req.runs == 0 {
		req.mayRun = false
		req.Quotas.Undo(&req.reservation)
	}
}

// releaseQuota gives back the room of a request that ran nowhere.
func (req *callerRequest) releaseQuota() {
	if !req.mayRun {
		req.Quotas.Release(&req.reservation)
	}
}
