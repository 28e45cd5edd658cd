package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the content of a request. It distinguishes a repeated request
// from a different request with the same key.
type Digest string

// NewDigest returns the digest of a request.
func NewDigest(method, pool, path, query string, body []byte) Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(pool), []byte(path), []byte(query), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}
