package schedule

import "time"

const (
	// maxVersionHold bounds how long targets of a new version wait for the orders to be read.
	maxVersionHold = time.Second
	// maxKnownVersions bounds the versions that a pool remembers. Beyond that, versions are
	// not remembered, and their targets are held again after a change.
	maxKnownVersions = 64
)

// versionHistory holds the software versions that the targets of a pool have had. Targets of a
// new version get nothing until it is known whether it was ordered.
type versionHistory struct {
	known map[string]bool
	// heldUntil holds the end of the wait for the orders, by version.
	heldUntil map[string]time.Time
}

// record records that a target of the pool has the version. It reports whether targets of the
// version are held from now on.
func (h *versionHistory) record(now time.Time, version string, otherInService bool) bool {
	if h.known[version] || !h.heldUntil[version].IsZero() {
		return false
	}
	if h.known == nil {
		h.known, h.heldUntil = make(map[string]bool), make(map[string]time.Time)
	}
	if !otherInService {
		h.remember(version)
		return false
	}
	h.heldUntil[version] = now.Add(maxVersionHold)
	return true
}

func (h *versionHistory) remember(version string) {
	delete(h.heldUntil, version)
	if len(h.known) < maxKnownVersions {
		h.known[version] = true
	}
}

// release ends the hold of all versions, because the orders were read.
func (h *versionHistory) release() {
	for version := range h.heldUntil {
		h.remember(version)
	}
}

// holds reports whether targets of the version get nothing yet.
func (h *versionHistory) holds(now time.Time, version string) bool {
	return now.Before(h.heldUntil[version])
}
