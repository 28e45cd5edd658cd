package claim

// write is the change of one row, on the condition of its revision.
type write struct {
	key string
	// revision must be the row's; zero demands that it is absent.
	revision uint64
	// value is the new value; nil deletes the row.
	value []byte
	// done gets the result; it has room for one.
	done chan writeResult
}

func newWrite(key string, revision uint64, value []byte) *write {
	return &write{key: key, revision: revision, value: value, done: make(chan writeResult, 1)}
}
