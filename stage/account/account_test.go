package account_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
)

// TestLookup checks which account a key proves.
func TestLookup(t *testing.T) {
	d, shared := account.New([]account.Entry{
		{Account: account.Account{Name: "a", Ranked: true}, Keys: []account.Key{"k1", "k2", "k2"}},
		{Account: account.Account{Name: "b"}, Keys: []account.Key{"k2", "k3", ""}},
		{Account: account.Account{Name: "none"}},
	})
	require.Equal(t, []string{"b"}, shared)
	for key, want := range map[account.Key]string{"k1": "a", "k2": "a", "k3": "b", "": "", "k": "", "k1 ": "", "none": ""} {
		got, ok := d.Lookup(key)
		require.Equal(t, want, got.Name, "%q", string(key))
		require.Equal(t, want != "", ok)
	}
	require.Len(t, d.Accounts(), 3)
	require.Empty(t, (*account.Directory)(nil).Accounts())
}

// TestKeyIsNotPrinted checks that a key reaches no text by accident.
func TestKeyIsNotPrinted(t *testing.T) {
	holder := struct{ Key account.Key }{"secret"}
	encoded, err := json.Marshal(holder)
	require.NoError(t, err)
	for _, text := range []string{
		string(encoded), fmt.Sprint(holder.Key), fmt.Sprintf("%v %+v %#v %s %q", holder, holder, holder, holder.Key, holder.Key),
		errors.Errorf("key %v", holder.Key).Error(),
	} {
		require.NotContains(t, text, "secret")
	}
}
