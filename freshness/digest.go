package freshness

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the rows of a table by their keys and versions, in any order. The zero value is
// that of an empty table.
type Digest uint32

// Toggle adds a row, or removes one that was added.
func (d *Digest) Toggle(key string, version uint64) {
	var hash xxhash.Digest
	hash.Reset()
	// Writing to the hash returns no error.
	_, _ = hash.WriteString(key)
	var suffix [8]byte
	binary.LittleEndian.PutUint64(suffix[:], version)
	_, _ = hash.Write(suffix[:])
	*d ^= Digest(hash.Sum64())
}

// InEra returns the digest of the rows in an era of the store.
func (d Digest) InEra(era uint64) uint32 {
	copied := d
	copied.Toggle("", era)
	return uint32(copied)
}
