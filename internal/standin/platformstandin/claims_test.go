package platformstandin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// claim is what a Put returned.
type claim struct {
	object objectstore.Object
	err    error
}

// Guards against a client whose results contradict the history: an accepted write that is
// missing, a refused write that is present, or a version that was written twice.
func TestClaimsMatchHistory(t *testing.T) {
	const writers, puts = 6, 60
	runWithEachClient(t, func(t *testing.T, p *Platform, client func(string) platformClient) {
		p.SetFaults(Faults{LoseResponseShare: 0.2})
		claims := make([]map[string]claim, writers)
		var wg sync.WaitGroup
		for w := range writers {
			store := client(fmt.Sprint("dc", w%2))
			rng := rand.New(rand.NewPCG(7, uint64(w)))
			wg.Go(func() { claims[w] = putAll(t, store, rng, w, puts) })
		}
		rng := rand.New(rand.NewPCG(7, 99))
		for range 200 {
			p.ChangeFaults(func(f *Faults) {
				f.Outage = rng.IntN(8) == 0
				f.Cut = nil
				if rng.IntN(4) == 0 {
					f.Cut = []string{fmt.Sprint("dc", rng.IntN(2))}
				}
			})
			client("observer").Get(t.Context(), "a")
		}
		p.ChangeFaults(func(f *Faults) { f.Outage, f.Cut = false, nil })
		wg.Wait()
		checkClaims(t, p.HistoryOf("a"), claims)
	})
}

func putAll(t *testing.T, store platformClient, rng *rand.Rand, writer, puts int) map[string]claim {
	claims := make(map[string]claim)
	base := uint64(0)
	for n := range puts {
		if o, err := store.Get(t.Context(), "a"); err == nil && rng.IntN(4) > 0 {
			base = o.Version
		}
		value := fmt.Sprintf("%d-%d", writer, n)
		o, err := store.Put(t.Context(), "a", base, []byte(value))
		claims[value] = claim{o, err}
	}
	return claims
}

func checkClaims(t *testing.T, history []Write, claims []map[string]claim) {
	t.Helper()
	applied := make(map[string]uint64)
	for i, w := range history {
		if w.Version != uint64(i+1) {
			t.Fatalf("write %d has version %d", i, w.Version)
		}
		applied[string(w.Value)] = w.Version
	}
	outcomes := make(map[error]int)
	for _, byValue := range claims {
		for value, c := range byValue {
			version, present := applied[value]
			switch {
			case c.err == nil:
				outcomes[nil]++
				if c.object.Version != version {
					t.Errorf("%s: accepted as version %d, history has %d", value, c.object.Version, version)
				}
			case errors.Is(c.err, objectstore.ErrUnknownOutcome):
				outcomes[objectstore.ErrUnknownOutcome]++
			case errors.IsAny(c.err, objectstore.ErrConflict, objectstore.ErrUnavailable):
				outcomes[objectstore.ErrConflict]++
				if present {
					t.Errorf("%s: refused by %v, but applied as version %d", value, c.err, version)
				}
			default:
				t.Errorf("%s: unexpected error %v", value, c.err)
			}
		}
	}
	if len(outcomes) != 3 {
		t.Errorf("got only the outcomes %v, want accepted, unknown and refused", outcomes)
	}
}
