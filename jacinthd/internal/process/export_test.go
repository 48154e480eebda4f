package process

import "net/http"

// Admin returns the handler of health, readiness and metrics.
func (p *Process) Admin() http.Handler { return p.adminHandler() }
