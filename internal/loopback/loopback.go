// Package loopback chooses listen addresses for trials and tests, whose hosts must know
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

// The ports are below the operating system's range for outgoing connections. Otherwise an
// outgoing connection could take the port of a host while the host is restarted.
const (
	firstPort = 10_000
	portCount = 20_000
	maxTries  = 100
)

// Host is the loopback address of this process. On Linux it is derived from the process ID,
// so that no other process can take a port that this process has chosen but not yet opened.
var Host = hostOf(os.Getpid())

func hostOf(pid int) string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	// Process IDs of Linux have at most 22 bits. 127.0.0.0/16 is not used, because other
	// programs listen on 127.0.0.1.
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(pid)}).String()
}

// usedPorts holds the ports that FreeAddresses has returned or tried.
var usedPorts sync.Map

// FreeAddresses returns n addresses on Host whose ports are currently free. It never returns
// a port twice, because the host that got the port may not listen on it yet.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for try := 0; len(addresses) < n; try++ {
		port := firstPort + rand.IntN(portCount)
		if _, known := usedPorts.LoadOrStore(port, true); known {
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
