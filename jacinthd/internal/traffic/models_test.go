package traffic_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/jacinthd/internal/traffic"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
)

func engineService() patch.Change {
	return patch.PutService{Service: service.Service{Name: "draft", Engine: &service.Engine{Model: "m"}}}
}

func putCaller(name string) patch.Change {
	hash := caller.HashToken(name)
	return patch.PutCaller{Caller: caller.Caller{Name: name, Tokens: []string{hex.EncodeToString(hash[:])}}}
}

func putAdapter(name string, versions ...string) patch.Change {
	return patch.PutAdapter{Adapter: adapter.Adapter{Name: name, Service: "draft", Versions: versions}}
}

func apply(t require.TestingT, config *patch.Config, changes ...patch.Change) *patch.Config {
	next, err := config.Apply(patch.Patch{Number: config.Version + 1, Base: config.Version, ID: fmt.Sprint("id", config.Version), Author: "ann", Reason: "test", Changes: changes})
	require.NoError(t, err)
	return next
}

// list returns what the API lists for a caller.
func list(t require.TestingT, s *traffic.Server, who string) []string {
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer "+who)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	var got struct{ Data []struct{ ID string } }
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	ids := []string{}
	for _, m := range got.Data {
		ids = append(ids, m.ID)
	}
	return ids
}

// TestModelsLikeConfig compares the list with the configuration's own, while
// the configuration changes.
func TestModelsLikeConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := apply(t, &patch.Config{}, engineService(), putCaller("c0"), putCaller("c1"),
			putAdapter("b", "v2", "v1"), putAdapter("a", "v1"), putAdapter("c", "v3", "v1"))
		fake := &fakeControl{}
		s := &traffic.Server{Control: fake}
		for i := range rapid.IntRange(1, 6).Draw(t, "patches") {
			r := rule.Rule{
				Name:    fmt.Sprint("r", i%3),
				Caller:  rapid.SampledFrom([]string{"c0", "c1", "*"}).Draw(t, "caller"),
				Adapter: rapid.SampledFrom([]string{"a", "b", "c", "*"}).Draw(t, "adapter"),
			}
			if r.Adapter != "*" && rapid.Bool().Draw(t, "some") {
				r.Versions = []string{"v1"}
			}
			config = apply(t, config, patch.PutRule{Rule: r})
			fake.config = config
			for _, who := range []string{"c0", "c1"} {
				want := []string{}
				for _, ref := range config.Models(who) {
					want = append(want, ref.String())
				}
				require.Equal(t, want, list(t, s, who))
			}
		}
	})
}

// BenchmarkModels lists the models of a caller with 20 of 22,000 adapters, and
// of one that may use all.
func BenchmarkModels(b *testing.B) {
	changes := []patch.Change{engineService(), putCaller("all"), patch.PutRule{Rule: rule.Rule{Name: "all", Caller: "all", Adapter: "*"}}}
	for i := range 22000 {
		who, name := fmt.Sprintf("c%d", i/20), fmt.Sprintf("a%d", i)
		if i%20 == 0 {
			changes = append(changes, putCaller(who))
		}
		changes = append(changes, putAdapter(name, "v1", "v2"), patch.PutRule{Rule: rule.Rule{Name: name, Caller: who, Adapter: name}})
	}
	config := &patch.Config{}
	for len(changes) > 0 {
		some := min(len(changes), 5000)
		config, changes = apply(b, config, changes[:some]...), changes[some:]
	}
	s := &traffic.Server{Control: &fakeControl{config: config}}
	for who, n := range map[string]int{"c7": 40, "all": 44000} {
		b.Run(who, func(b *testing.B) {
			require.Len(b, list(b, s, who), n)
			r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
			r.Header.Set("Authorization", "Bearer "+who)
			for b.Loop() {
				s.Handler().ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}
