package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
)

func TestRoute(t *testing.T) {
	c := catalog.NewConfig(3, []catalog.Route{
		{Name: "short", Host: "one.example", Prefix: "/a/"},
		{Name: "long", Host: "one.example", Prefix: "/a/b/"},
		{Name: "root", Host: "two.example", Prefix: "/"},
	}, nil, catalog.Limits{})
	for _, x := range []struct{ host, path, want string }{
		{"one.example", "/a/", "short"},
		{"one.example", "/a/x", "short"},
		{"one.example", "/a/b", "short"},
		{"one.example", "/a/b/c/d", "long"},
		{"one.example", "/c/", ""},
		{"one.example", "/", ""},
		{"one.example", "", ""},
		{"two.example", "/any", "root"},
		{"three.example", "/a/", ""},
	} {
		r, ok := c.Route(x.host, x.path)
		require.Equal(t, x.want != "", ok, x.path)
		require.Equal(t, x.want, r.Name, x.path)
	}
}

func TestChoose(t *testing.T) {
	r := catalog.Route{Split: []catalog.TrafficShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", r.ChooseService(0))
	require.Equal(t, "a", r.ChooseService(0.899))
	require.Equal(t, "b", r.ChooseService(0.901))
	require.Equal(t, "b", r.ChooseService(1))
	require.Empty(t, catalog.Route{}.ChooseService(0.5))
}

func TestRepeatable(t *testing.T) {
	require.True(t, catalog.Route{Kind: catalog.Idempotent{}}.Retryable())
	require.False(t, catalog.Route{Kind: catalog.AtMostOnce{}}.Retryable())
	require.False(t, catalog.Route{Kind: catalog.Stream{}}.Retryable())
	require.True(t, catalog.Route{Kind: catalog.Stream{Resumable: true}}.Retryable())
}
