package loopback

import (
	"net"
	"testing"
)

// TestAllocatedAddressesStayFree opens listeners on ports that the kernel chooses
// after addresses were allocated, as stand-ins do before a host of a test listens. An
// allocated address must not be taken by them.
func TestAllocatedAddressesStayFree(t *testing.T) {
	const addresses, others = 200, 2000
	allocated := make(map[string]bool)
	for range addresses {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if allocated[address] {
			t.Fatalf("address %s was allocated twice", address)
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
			t.Errorf("address %s is no longer free after its allocation", address)
		}
	}
}

func TestProcessesGetDifferentAddresses(t *testing.T) {
	const maxPID = 1 << 22
	for _, pid := range []int{1, 255, 256, 65_536, maxPID - 2} {
		if loopbackAddr(pid) == loopbackAddr(pid+1) {
			t.Errorf("process IDs %d and %d map to the same address %v", pid, pid+1, loopbackAddr(pid))
		}
		if !loopbackAddr(pid).IsLoopback() {
			t.Errorf("address %v is not a loopback address", loopbackAddr(pid))
		}
	}
}
