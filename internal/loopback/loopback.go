// Package loopback chooses the addresses of trials and tests, whose hosts must know
// their addresses before they listen.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports are below the range that the system gives to outgoing connections, so
// that none of those takes the port of a host that is stopped and started again.
const (
	firstPort = 10_000
	ports     = 20_000
	maxTries  = 100
)

// Host is the loopback address of this process. On Linux each process has its own,
// made of its id: the port that one process has chosen and not yet opened can't be
// taken by another.
var Host = hostOf(os.Getpid())

func hostOf(pid int) string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	// Process ids of Linux have 22 bits at most; the first address block stays free
	// for programs that listen on 127.0.0.1.
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(pid)}).String()
}

// taken are the ports that FreeAddresses has returned or tried.
var taken sync.Map

// FreeAddresses returns n addresses of this process whose ports were free just now. No
// port is returned twice: the host that it was chosen for may not listen yet.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for try := 0; len(addresses) < n; try++ {
		port := firstPort + rand.IntN(ports)
		if _, known := taken.LoadOrStore(port, true); known {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort(Host, strconv.Itoa(port)))
		if err != nil {
			if try >= maxTries {
				return nil, errors.Wrap(err, "find a free port")
			}
			continue
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
