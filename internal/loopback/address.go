// Package loopback allocates loopback addresses for the processes of a test.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("loopback")

const (
	// The ports are below the range that the kernel assigns to outgoing connections,
	// so that a free port remains free until its process listens.
	firstPort = 10_000
	lastPort  = 32_000
	maxTries  = 1000
)

// processAddr is a loopback address that only this process uses, so that test programs
// that run concurrently do not allocate the same ports.
var processAddr = loopbackAddr(os.Getpid())

var allocated struct {
	sync.Mutex
	ports map[int]bool
}

// FreeAddress returns a loopback address on which no process listens, neither with TCP
// nor with UDP. It returns each address only once.
func FreeAddress() (string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.ports == nil {
		allocated.ports = make(map[int]bool)
	}
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if allocated.ports[port] {
			continue
		}
		address := fmt.Sprintf("%s:%d", processAddr, port)
		if !isFree(address) {
			continue
		}
		allocated.ports[port] = true
		return address, nil
	}
	return "", Error.New("no free port on the loopback address found in %d attempts", maxTries)
}

// loopbackAddr maps a process ID, which has at most 22 bits, to an address in
// 127.64.0.0/10.
func loopbackAddr(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16), byte(pid >> 8), byte(pid)})
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packetConn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packetConn.Close()
	return true
}
