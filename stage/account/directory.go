package account

import "crypto/sha256"

// An Entry is a client account with the keys that prove it.
type Entry struct {
	Account Account
	Keys    []Key
}

// A Directory finds client accounts by their keys. A nil Directory means that callers need no
// account.
type Directory struct {
	accounts []Account
	byKey    map[digest]int // index in accounts
}

// A digest of a key. The time of a look-up depends on it alone, so that it tells nothing of how
// much of a key is right.
type digest [sha256.Size]byte

// New returns a Directory of the entries, and the names of the accounts that have a key which an
// entry before them has: the first one keeps it.
func New(entries []Entry) (d *Directory, shared []string) {
	d = &Directory{byKey: make(map[digest]int)}
	for i, e := range entries {
		d.accounts = append(d.accounts, e.Account)
		if !d.addKeys(i, e.Keys) {
			shared = append(shared, e.Account.Name)
		}
	}
	return d, shared
}

// addKeys adds the keys of an account. It returns false if another one has one of them.
func (d *Directory) addKeys(account int, keys []Key) bool {
	unique := true
	for _, k := range keys {
		if k == "" {
			continue
		}
		sum := sha256.Sum256([]byte(k))
		holder, taken := d.byKey[sum]
		if !taken {
			d.byKey[sum] = account
			continue
		}
		unique = unique && holder == account
	}
	return unique
}

// Lookup returns the account that a key proves. The empty key proves none.
func (d *Directory) Lookup(k Key) (Account, bool) {
	i, ok := d.byKey[sha256.Sum256([]byte(k))]
	if !ok {
		return Account{}, false
	}
	return d.accounts[i], true
}

// Accounts returns all accounts, in the order of the configuration. The result must not be changed.
func (d *Directory) Accounts() []Account {
	if d == nil {
		return nil
	}
	return d.accounts
}
