package settings

// head is the newest version and the revision of its row, which is zero before
// the first change.
type head struct {
	version  uint64
	revision uint64
}
