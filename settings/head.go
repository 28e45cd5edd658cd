package settings

// head is the newest version and the revision of the head row. Both are zero before
// the first change.
type head struct {
	version  uint64
	revision uint64
}
