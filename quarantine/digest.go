package quarantine

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
)

// Digest identifies the content of a request. It is the same on all hosts and after a
// restart. Zero means that the content is unknown.
type Digest uint64

// ContentDigest returns the digest of a request: of its team, its path with the query, and
// its body. A caller may send the same content again with another method, host name or ID.
func ContentDigest(team ident.Team, uri string, body []byte) Digest {
	return NewDigest(body, string(team), uri)
}

// NewDigest returns the digest of a body and of the fields that distinguish it.
func NewDigest(body []byte, fields ...string) Digest {
	d := xxhash.New()
	for _, field := range fields {
		_, _ = d.WriteString(field)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return Digest(d.Sum64())
}

// ParseDigest parses what String returns.
func ParseDigest(text string) (Digest, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Digest(n), Error.Wrap(err)
}

// String returns the digest as 16 hexadecimal digits, as it appears in logs.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
