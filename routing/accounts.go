package routing

import (
	"crypto/sha256"
	"slices"
)

// Account is a client account: a group of callers that share keys, a priority and a quota.
type Account struct {
	Name string
	// Keys are the API keys that callers present. A key belongs to one account.
	Keys []string
	// Priority replaces that of the route if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// RequestsPerSecond and Burst are the quota of all hosts together; a rate of 0 means
	// that there is none.
	RequestsPerSecond float64
	Burst             float64
}

// HasQuota reports whether the requests of the account are limited.
func (a Account) HasQuota() bool { return a.RequestsPerSecond > 0 }

// keyDigest is the hash of an API key. Looking a key up by its hash takes a time that does not
// depend on how much of it is right, and the table holds no key in plain text.
type keyDigest [sha256.Size]byte

// WithAccounts sets the client accounts of the table and returns the table. It must be called
// before the table is shared with other goroutines. The accounts' Keys are not kept. If a key
// is listed twice, it belongs to the first account that lists it.
func (t *Table) WithAccounts(accounts []Account) *Table {
	keys := 0
	for i := range accounts {
		keys += len(accounts[i].Keys)
	}
	t.hasQuotas = slices.ContainsFunc(accounts, Account.HasQuota)
	t.accounts = make(map[string]*Account, len(accounts))
	t.accountByKey = make(map[keyDigest]*Account, keys)
	for i := range accounts {
		a := accounts[i]
		for _, key := range a.Keys {
			digest := keyDigest(sha256.Sum256([]byte(key)))
			if t.accountByKey[digest] == nil {
				t.accountByKey[digest] = &a
			}
		}
		a.Keys = nil
		t.accounts[a.Name] = &a
	}
	return t
}

// HasAccounts reports whether requests need the key of an account, except on public routes.
func (t *Table) HasAccounts() bool { return len(t.accounts) > 0 }

// HasQuotas reports whether an account has a quota.
func (t *Table) HasQuotas() bool { return t.hasQuotas }

// Account returns the account with a name. Its Keys are empty.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.accounts[name]
	return a, ok
}

// AccountOfKey returns the account that has an API key.
func (t *Table) AccountOfKey(key string) (*Account, bool) {
	a, ok := t.accountByKey[keyDigest(sha256.Sum256([]byte(key)))]
	return a, ok
}

// PriorityOf returns the priority of a request of an account on a route; 0 is the highest. The
// account may be nil.
func (r *Route) PriorityOf(account *Account) int {
	if account != nil && account.HasPriority {
		return account.Priority
	}
	return r.Priority
}
