package settings

import "net/netip"

// maxSlots is the largest number of concurrent requests that a target may allow.
const maxSlots = 65536

// checkTarget adds the findings of a target that do not depend on other documents.
func checkTarget(e *treeEntry) {
	if e.target.Pool == "" {
		e.addFinding("pool", "the pool is empty", "")
	}
	if !ValidName(string(e.target.DataCentre)) {
		e.addFinding("dataCentre", "the name "+quote(string(e.target.DataCentre))+" is not allowed", allowedNames)
	}
	if !validAddress(e.target.Address) {
		e.addFinding("address", quote(e.target.Address)+" is not an address", "IP:port, such as \"10.0.0.7:8000\"")
	}
	if e.target.Slots < 1 || e.target.Slots > maxSlots {
		e.addFinding("slots", "the number of slots is out of range", "1 to 65536")
	}
}

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
