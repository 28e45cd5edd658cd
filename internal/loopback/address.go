// Package loopback gives out addresses for the processes of a test.
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
	// The ports lie below those that the kernel gives to outgoing connections,
	// so that a port that is free now stays free until its process listens.
	firstPort = 10_000
	lastPort  = 32_000
	maxTries  = 1000
)

// host is the address of the loopback network that only this process gives out,
// so that test programs that run at once don't get each other's ports.
var processAddr = loopbackAddr(os.Getpid())

var allocated struct {
	sync.Mutex
	ports map[int]bool
}

// FreeAddress returns an address on the loopback network that nobody listens on,
// neither with TCP nor with UDP. It returns each address once.
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
	return "", Error.New("no free port found in %d tries", maxTries)
}

// hostOf returns an address of 127.64.0.0/10: a process id has at most 22 bits.
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
