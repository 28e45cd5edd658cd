package claim

// write is a conditional change of one row.
type write struct {
	key string
	// revision is the expected revision of the row; zero means that the row must not
	// exist.
	revision uint64
	// value is the new value; nil deletes the row.
	value []byte
	// done receives the result; it is buffered.
	done chan writeResult
}

func newWrite(key string, revision uint64, value []byte) *write {
	return &write{key: key, revision: revision, value: value, done: make(chan writeResult, 1)}
}
