package direct_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/relay"
)

// configure gives the system a configuration with client accounts, by their keys, and a route that
// needs none.
func (s *testSystem) configure(version uint64, accounts map[account.Key]account.Account) {
	all := []catalog.TrafficShare{{Service: "s", Weight: 1}}
	routes := []catalog.Route{
		{Name: "read", Host: "one.example", Prefix: "/read/", Kind: catalog.Idempotent{}, Priority: 4, MaxAttempts: 3, Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond, Split: all},
		{Name: "open", Host: "one.example", Prefix: "/open/", Kind: catalog.Idempotent{}, MaxAttempts: 1, Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond, Split: all, Public: true},
	}
	config := catalog.NewConfig(version, routes, []catalog.Service{{Name: "s"}}, catalog.Limits{MaxBody: 100})
	var entries []account.Entry
	for key, a := range accounts {
		entries = append(entries, account.Entry{Account: a, Keys: []account.Key{key}})
	}
	config.Accounts, _ = account.New(entries)
	s.dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: config})
}

// TestAccounts checks who may send requests, and what targets learn of it.
func TestAccounts(t *testing.T) {
	var got http.Header
	s := newTestSystem(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		got = r.Header
		succeed(w, "")
	})
	s.configure(3, map[account.Key]account.Account{"k1": {Name: "a"}, "k2": {Name: "b", Ranked: true, Priority: 2}})
	for _, c := range []struct {
		name, path, key string
		status          int
		account         string
		priority        string
	}{
		{"known key", "/read/", "k1", 200, "a", "4"},
		{"account with a priority", "/read/", "k2", 200, "b", "2"},
		{"unknown key", "/read/", "k3", 401, "", ""},
		{"no key", "/read/", "", 401, "", ""},
		{"public route, no key", "/open/", "", 200, "", "0"},
		{"public route, unknown key", "/open/", "k3", 200, "", "0"},
		{"public route, known key", "/open/", "k2", 200, "b", "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := s.runs.Load()
			response, _, err := s.sendWith(t, time.Second, http.MethodGet, c.path, "", map[string]string{"Key": c.key, "Account": "forged"})
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode)
			if c.status != http.StatusOK {
				require.Equal(t, runs, s.runs.Load())
				return
			}
			require.Equal(t, c.account, got.Get("Account"))
			require.Equal(t, c.priority, got.Get("Priority"))
			require.Empty(t, got.Get("Key"))
		})
	}
}

// TestKeyTakenAway checks that a request isn't sent again once its key was taken away.
func TestKeyTakenAway(t *testing.T) {
	var s *testSystem
	s = newTestSystem(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
		s.configure(4, map[account.Key]account.Account{"other": {Name: "a"}})
		refuse(w)
	})
	s.configure(3, map[account.Key]account.Account{"k": {Name: "a"}})
	response, _, err := s.sendWith(t, time.Second, http.MethodGet, "/read/", "", map[string]string{"Key": "k"})
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	require.EqualValues(t, 1, s.runs.Load())
}

// TestBehindOthers checks that a host refuses nothing for good while another host has a newer
// configuration.
func TestBehindOthers(t *testing.T) {
	s := newTestSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "") })
	s.configure(3, map[account.Key]account.Account{"k": {Name: "a"}})
	s.dispatcher.MergeDigest(time.Now(), relay.Digest{From: "other", ConfigVersion: 4})
	statuses := func() []int {
		unknownKey, _, err := s.sendWith(t, time.Second, http.MethodGet, "/read/", "", map[string]string{"Key": "new"})
		require.NoError(t, err)
		unknownRoute, _, err := s.sendWith(t, time.Second, http.MethodGet, "/new/", "", map[string]string{"Key": "k"})
		require.NoError(t, err)
		return []int{unknownKey.StatusCode, unknownRoute.StatusCode}
	}
	require.Equal(t, []int{503, 503}, statuses())
	s.configure(4, map[account.Key]account.Account{"k": {Name: "a"}})
	require.Equal(t, []int{401, 404}, statuses())
	require.Zero(t, s.runs.Load())
}
