package direct

import (
	"net/http"
	"time"

	"jacinthstage/stage/account"
	"jacinthstage/stage/catalog"
)

// authorize finds the caller's client account by its key. It returns false if the configuration
// has accounts, none of them has the key, and the route isn't public.
func (req *callerRequest) authorize(config *catalog.Config) bool {
	req.accounts = config.Accounts != nil
	req.account = account.Account{}
	if !req.accounts {
		return true
	}
	holder, known := config.Accounts.Lookup(req.call.Key)
	req.account = holder
	return known || req.route.Public
}

// refuseUnknown refuses what this host's configuration doesn't know, for good unless another host
// has a newer configuration, which may know it.
func (req *callerRequest) refuseUnknown(status int, reason string) {
	if req.Dispatcher.IsBehind(time.Now()) {
		req.refuse(http.StatusServiceUnavailable, reason+", another host has a newer configuration", unconfiguredRetryAfter)
		return
	}
	req.refuse(status, reason, 0)
}

// refuseRevoked refuses a request whose key has been taken away since it was accepted, and reports
// whether it has.
func (req *callerRequest) refuseRevoked() bool {
	config := req.Dispatcher.Config()
	if config.Version == req.authorized {
		return false
	}
	req.authorized = config.Version
	if req.authorize(config) {
		return false
	}
	if req.runs > 0 {
		req.fail("key taken away", 0)
		return true
	}
	req.refuse(http.StatusUnauthorized, "key taken away", 0)
	return true
}

// priority returns the priority of the request, 0 being the most urgent: that of the caller's
// account, if it has one, else that of the route.
func (req *callerRequest) priority() int {
	if req.account.Ranked {
		return req.account.Priority
	}
	return req.route.Priority
}
