package targetlimit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

func TestSlotsOfAllHostsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 50).Draw(t, "slots")
		hosts := make([]ident.Host, rapid.IntRange(1, 320).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = ident.Host(fmt.Sprint("h", i))
		}
		sum := 0
		for _, host := range hosts {
			sum += Slots("t", slots, host, hosts)
		}
		if sum != slots {
			t.Fatalf("the hosts use %d slots, want %d", sum, slots)
		}
	})
}

func TestHostsShareTheTargetsOfAPoolEvenly(t *testing.T) {
	const hosts, targets, slots = 60, 60, 7
	all := make([]ident.Host, hosts)
	for i := range all {
		all[i] = ident.Host(fmt.Sprint("h", i))
	}
	for _, host := range all {
		sum := 0
		for n := range targets {
			sum += Slots(ident.Target(fmt.Sprint("t", n)), slots, host, all)
		}
		if sum < slots/3 {
			t.Errorf("%s uses %d slots of all targets, want about %d", host, sum, slots)
		}
	}
}
