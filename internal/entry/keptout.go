package entry

import (
	"maps"
	"time"

	"k8s.io/klog/v2"
)

// outGrace is how long a data centre stays out whose entry the store has lost: the operator writes
// it again some seconds later.
const outGrace = 15 * time.Second

// keptOut holds the data centres that were out before the store was restored from a copy that
// lacks their entries.
type keptOut struct {
	// stepping is set until the first state of the new era is known.
	stepping bool
	until    time.Time       // when the names are no longer kept
	names    map[string]bool // data centres that stay out without an entry in the store
}

// begin records that a new era begins in which the given data centres are out.
func (k *keptOut) begin(now time.Time, out map[string]bool) {
	k.stepping = true
	k.until = now.Add(outGrace)
	if k.names == nil {
		k.names = make(map[string]bool, len(out))
	}
	maps.Copy(k.names, out)
}

// endStep records which data centres are out in the store. What it lists follows it again.
func (k *keptOut) endStep(listed map[string]bool) {
	for name := range listed {
		delete(k.names, name)
	}
	if k.stepping && len(k.names) > 0 {
		klog.InfoS("Data centres stay out that the restored store does not list", "dataCentres", len(k.names))
	}
	k.stepping = false
}

// with returns the data centres that are out, in the store or kept.
func (k *keptOut) with(listed map[string]bool) map[string]bool {
	if len(k.names) == 0 {
		return listed
	}
	all := maps.Clone(listed)
	maps.Copy(all, k.names)
	return all
}

// expire ends the time in which data centres are kept out. It reports whether any were.
func (k *keptOut) expire(now time.Time) bool {
	if len(k.names) == 0 || now.Before(k.until) {
		return false
	}
	klog.InfoS("Data centres are in again that nobody took out after the store was restored", "dataCentres", len(k.names))
	k.names = nil
	return true
}
