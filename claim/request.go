package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cornelyard/cornelyard/ident"
)

// Request is what is claimed.
type Request struct {
	ID   ident.Request
	Team ident.Team
	// Key is the caller's idempotency key.
	Key    string
	Digest Digest
}

const (
	claimKeyPrefix       = "claims/"
	responseObjectPrefix = "answers/"
)

// rowKey returns the key of the request's row. The caller's key is hashed,
// since it may hold any bytes.
func (r Request) rowKey() string {
	sum := sha256.Sum256([]byte(r.Key))
	return claimKeyPrefix + string(r.Team) + "/" + hex.EncodeToString(sum[:])
}
