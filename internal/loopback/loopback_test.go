package loopback

import "testing"

// Guards against two hosts that get the same port before either of them listens. One of
// them then fails to start, and the trial waits for its readiness until it times out.
func TestFreeAddressesAreUnique(t *testing.T) {
	const hosts = 500
	seen := make(map[string]bool)
	for range hosts {
		addresses, err := FreeAddresses(2)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addresses {
			if seen[a] {
				t.Fatalf("%s was returned twice", a)
			}
			seen[a] = true
		}
	}
}

// Guards against concurrent test processes that choose the same address. go test runs the
// tests of several packages at the same time.
func TestProcessesHaveDistinctAddresses(t *testing.T) {
	seen := make(map[string]int)
	for _, pid := range []int{1, 2, 255, 256, 257, 65_535, 65_536, 1<<22 - 1} {
		address := hostOf(pid)
		if other, ok := seen[address]; ok && Host != "127.0.0.1" {
			t.Errorf("processes %d and %d both have the address %s", other, pid, address)
		}
		seen[address] = pid
	}
}
