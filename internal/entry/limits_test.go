package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against configured limits that take effect only after a restart, or whose
// change closes connections in use.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	tr := startTier(t, 1)
	kept := tr.mustAsk(t, "GET", "/one/x", "")
	if kept.status != http.StatusOK {
		t.Fatalf("status is %d", kept.status)
	}
	changed := testTable(7, []string{"shard-000"})
	changed.Limits = routing.Limits{HeaderBytes: 512, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
	tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: changed})
	time.Sleep(200 * time.Millisecond)
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
		t.Errorf("status on a kept connection is %d, want 200", g.status)
	}
	request, err := http.NewRequest("GET", "http://"+tr.address+"/one/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Long", strings.Repeat("x", 20<<10))
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status with 20 KiB of headers is %d, want 431", response.StatusCode)
	}
}
