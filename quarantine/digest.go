package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the content of a request. It is the same on all hosts and after a
// restart. Zero means that the content is unknown.
type Digest uint64

// NewDigest returns the digest of a body and of the fields that distinguish it, such as
// the team and the path.
func NewDigest(body []byte, fields ...string) Digest {
	d := xxhash.New()
	for _, field := range fields {
		_, _ = d.WriteString(field)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return Digest(d.Sum64())
}

// String returns the digest as 16 hexadecimal digits, as it appears in logs.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
