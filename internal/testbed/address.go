package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	loopback = "127.0.0.1"
	// The ports lie below those that the kernel gives to outgoing connections,
	// so that a port that is free now stays free until its process listens.
	firstPort = 10_000
	lastPort  = 32_000
	maxTries  = 1000
)

var taken struct {
	sync.Mutex
	ports map[int]bool
}

// FreeAddress returns an address on the loopback interface that nobody listens
// on. It returns each address once.
func FreeAddress() (string, error) {
	taken.Lock()
	defer taken.Unlock()
	if taken.ports == nil {
		taken.ports = make(map[int]bool)
	}
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken.ports[port] {
			continue
		}
		address := fmt.Sprintf("%s:%d", loopback, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		taken.ports[port] = true
		return address, nil
	}
	return "", Error.New("no free port found in %d tries", maxTries)
}
