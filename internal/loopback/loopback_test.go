package loopback

import "testing"

// Guards against two hosts that are given the same port before either listens: one
// of them then can't run, and the trial waits in vain for it to be ready.
func TestAddressesAreGivenOnce(t *testing.T) {
	const hosts = 500
	seen := make(map[string]bool)
	for range hosts {
		addresses, err := FreeAddresses(2)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addresses {
			if seen[a] {
				t.Fatalf("%s was given to two hosts", a)
			}
			seen[a] = true
		}
	}
}

// Guards against test processes that run side by side and choose the same address:
// go test runs several packages at once.
func TestProcessesHaveTheirOwnAddress(t *testing.T) {
	seen := make(map[string]int)
	for _, pid := range []int{1, 2, 255, 256, 257, 65_535, 65_536, 1<<22 - 1} {
		address := hostOf(pid)
		if other, ok := seen[address]; ok && Host != "127.0.0.1" {
			t.Errorf("processes %d and %d both have %s", other, pid, address)
		}
		seen[address] = pid
	}
}
