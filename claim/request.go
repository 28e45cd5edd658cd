package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cornelyard/cornelyard/ident"
)

// Request identifies the request whose key is claimed.
type Request struct {
	ID   ident.Request
	Team ident.Team
	// Key is the idempotency key that the caller chose.
	Key    string
	Digest Digest
}

const (
	claimKeyPrefix       = "claims/"
	responseObjectPrefix = "answers/"
)

// rowKey returns the key of the request's row. The caller's key is hashed because it
// may contain arbitrary bytes.
func (r Request) rowKey() string {
	sum := sha256.Sum256([]byte(r.Key))
	return claimKeyPrefix + string(r.Team) + "/" + hex.EncodeToString(sum[:])
}
