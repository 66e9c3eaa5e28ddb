package entry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// startWithQuota runs entries with one account and waits until its quota has a lender.
func startWithQuota(t *testing.T, account routing.Account, entries int) []*tier {
	t.Helper()
	var list hostList
	for i := range entries {
		list = append(list, watchers.Host{ID: "host-" + strconv.Itoa(i), DataCentre: "dc", Address: freeAddress(t), Cores: 1})
	}
	var tiers []*tier
	for _, self := range list {
		tr := newTier(t, 3)
		tr.configuration.items[0].Value.WithAccounts([]routing.Account{account})
		tr.run(t, self, list)
		tiers = append(tiers, tr)
	}
	for _, tr := range tiers {
		for deadline := time.Now().Add(10 * time.Second); tr.askAs(t, account, "/one/first").status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the quota has no lender after 10 s")
			}
		}
	}
	return tiers
}

func (tr *tier) askAs(t *testing.T, account routing.Account, path string) answer {
	t.Helper()
	return tr.askWith(t, path, http.Header{"Authorization": {"Bearer " + account.Keys[0]}})
}

// Guards against a request over the quota that runs or isn't told when to come back, against a
// request over several shards that is charged for each of them, and against hosts that each admit
// the whole quota.
func TestRequestsOverQuotaAreRefused(t *testing.T) {
	account := routing.Account{Name: "acme", Keys: []string{"k"}, RequestsPerSecond: 20, Burst: 5}
	tiers := startWithQuota(t, account, 2)
	time.Sleep(time.Second) // the bucket is empty at first
	began := time.Now()
	served, refused := 0, 0
	var before int64
	for _, tr := range tiers {
		before += tr.shards[1].requests.Load()
	}
	for i := range 120 {
		switch a := tiers[i%2].askAs(t, account, "/scatter/x"); a.status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after <= 0 {
				t.Errorf("Retry-After is %q", a.header.Get("Retry-After"))
			}
		default:
			t.Errorf("status %d", a.status)
		}
	}
	var ran int64
	for _, tr := range tiers {
		ran += tr.shards[1].requests.Load()
	}
	// The bounds of the harness allow 20 requests beyond the quota.
	most := int(account.Burst+(1+time.Since(began).Seconds())*account.RequestsPerSecond)*11/10 + 20
	if served < int(account.Burst) || served > most || refused == 0 {
		t.Errorf("%d served and %d refused, at most %d are allowed", served, refused, most)
	}
	if ran-before > int64(served) {
		t.Errorf("a shard ran %d requests, %d were served", ran-before, served)
	}
}

// Guards against accounts without a quota, and callers below theirs, that are refused or wait.
func TestRequestsWithinQuotaAreServed(t *testing.T) {
	account := routing.Account{Name: "acme", Keys: []string{"k"}, RequestsPerSecond: 1000, Burst: 100}
	tiers := startWithQuota(t, account, 2)
	time.Sleep(200 * time.Millisecond) // the bucket is empty at first
	for i := range 100 {
		if a := tiers[i%2].askAs(t, account, "/one/x"); a.status != http.StatusOK {
			t.Fatalf("status %d", a.status)
		}
	}
	if n := tiers[0].counter("quota.refused") + tiers[1].counter("quota.refused"); n != 0 {
		t.Errorf("%d refused", n)
	}
}
