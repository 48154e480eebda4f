package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
	"jacinthstage/stage/catalog"
)

// TestContended checks in which configurations requests differ in who goes first.
func TestContended(t *testing.T) {
	routes := []catalog.Route{
		{Host: "h", Prefix: "/a/", Priority: 0, Split: []catalog.TrafficShare{{Service: "s", Weight: 1}}},
		{Host: "h", Prefix: "/b/", Priority: 2, Split: []catalog.TrafficShare{{Service: "s", Weight: 1}}},
	}
	c := catalog.NewConfig(1, routes, nil, catalog.Limits{})
	require.False(t, c.Contended(), "priorities of routes alone are the targets' matter")
	require.False(t, (*catalog.Config)(nil).Contended())
	c.Accounts, _ = account.New(nil)
	require.True(t, c.Contended())
}
