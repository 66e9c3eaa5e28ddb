package routing

import (
	"fmt"
	"testing"
)

// Guards against an account that takes over the key of another, and against a priority of an
// account that is not preferred to that of the route.
func TestAccounts(t *testing.T) {
	table := New(1, nil, nil, Limits{})
	if table.HasAccounts() {
		t.Error("a table without accounts asks for keys")
	}
	table.WithAccounts([]Account{
		{Name: "a", Keys: []string{"k1", "k2"}, Priority: 0, HasPriority: true, RequestsPerSecond: 5, Burst: 2},
		{Name: "b", Keys: []string{"k2", "k3"}},
	})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if a, ok := table.AccountOfKey(key); !ok || a.Name != want || len(a.Keys) != 0 {
			t.Errorf("key %s belongs to %+v, %v", key, a, ok)
		}
	}
	for _, key := range []string{"", "k4", "K1"} {
		if a, ok := table.AccountOfKey(key); ok {
			t.Errorf("key %q belongs to %+v", key, a)
		}
	}
	route := Route{Priority: 2}
	a, _ := table.Account("a")
	b, _ := table.Account("b")
	if got := []int{route.PriorityOf(a), route.PriorityOf(b), route.PriorityOf(nil)}; got[0] != 0 || got[1] != 2 || got[2] != 2 {
		t.Errorf("priorities are %v", got)
	}
}

// BenchmarkAccountOfKey shows that a lookup does not grow with the number of keys.
func BenchmarkAccountOfKey(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n, "accounts"), func(b *testing.B) {
			accounts := make([]Account, n)
			for i := range accounts {
				accounts[i].Name = fmt.Sprint("account-", i)
				for k := range 5 {
					accounts[i].Keys = append(accounts[i].Keys, fmt.Sprintf("key-%d-%d", i, k))
				}
			}
			table := New(1, nil, nil, Limits{}).WithAccounts(accounts)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.AccountOfKey("key-7-3"); !ok {
					b.Fatal("key is not found")
				}
			}
		})
	}
}

// Guards against routes of two versions that count as alike although requests are handled
// differently.
func TestFingerprintTellsRoutesApart(t *testing.T) {
	route := Route{Name: "r", Shards: []string{"a", "b"}, Timeout: 5, Priority: 1}
	same := Route{Name: "r", Shards: []string{"a", "b"}, Timeout: 5, Priority: 1}
	if route.Fingerprint() != same.Fingerprint() {
		t.Error("equal routes have different fingerprints")
	}
	for i, other := range []Route{
		{Name: "r", Shards: []string{"a", "c"}, Timeout: 5, Priority: 1}, {Name: "r", Shards: []string{"a", "b"}, Timeout: 6, Priority: 1},
		{Name: "r", Shards: []string{"a", "b"}, Timeout: 5}, {Name: "r", Shards: []string{"a", "b"}, Timeout: 5, Priority: 1, Regions: []string{"x"}},
	} {
		if route.Fingerprint() == other.Fingerprint() {
			t.Errorf("route %d has the same fingerprint", i)
		}
	}
}
