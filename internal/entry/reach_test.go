package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a host that sends little and stays ready in a data centre that is cut
// off: the balancer then goes on sending callers to all hosts there. It also guards
// against a host that believes another one whose own connection is cut.
func TestHostChecksWhatAnotherCanNotReach(t *testing.T) {
	for _, cut := range []bool{true, false} {
		dial := func(context.Context, string) error {
			if cut {
				return errors.New("no route")
			}
			return nil
		}
		r := newReachability(dial, func(string) (string, bool) { return "address", true })
		r.doubt(t.Context(), []string{"far"})
		deadline := time.Now().Add(5 * time.Second)
		for cut && !r.out("far") && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if !cut {
			r.check(t.Context(), time.Now(), "far")
		}
		if got := r.out("far"); got != cut {
			t.Errorf("cut: %t, out of reach: %t", cut, got)
		}
	}
}
