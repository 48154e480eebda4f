package direct_test

import (
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request that the host sends itself and one that goes through
// another host.
func BenchmarkRequest(b *testing.B) {
	for name, partitioned := range map[string]bool{"own": false, "proxied": true} {
		b.Run(name, func(b *testing.B) {
			hosts := startHosts(b, 3)
			c := &cut{dial: isRefused}
			c.apply(hosts[0])
			c.active.Store(partitioned)
			s := newLinkedSystem(b, hosts, 3, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "a") })
			for b.Loop() {
				if response, _, err := s.send(b, http.MethodGet, "/read/x", ""); err != nil || response.StatusCode != http.StatusOK {
					b.Fatal(response, err)
				}
			}
		})
	}
}
