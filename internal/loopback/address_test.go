package loopback

import (
	"net"
	"testing"
)

// TestAddressesStayFree opens listeners on ports of the kernel's choice after the
// addresses were given out, as stand-ins do before a host of a test listens.
func TestAllocatedAddressesStayFree(t *testing.T) {
	const addresses, others = 200, 2000
	allocated := make(map[string]bool)
	for range addresses {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if allocated[address] {
			t.Fatalf("%s was given out twice", address)
		}
		allocated[address] = true
	}
	for range others {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
	}
	for address := range allocated {
		if !isFree(address) {
			t.Errorf("%s was taken after it was given out", address)
		}
	}
}

func TestProcessesGetDifferentAddresses(t *testing.T) {
	const maxPID = 1 << 22
	for _, pid := range []int{1, 255, 256, 65_536, maxPID - 2} {
		if loopbackAddr(pid) == loopbackAddr(pid+1) {
			t.Errorf("processes %d and %d share %v", pid, pid+1, loopbackAddr(pid))
		}
		if !loopbackAddr(pid).IsLoopback() {
			t.Errorf("%v is not on the loopback network", loopbackAddr(pid))
		}
	}
}
