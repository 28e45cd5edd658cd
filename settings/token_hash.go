package settings

import (
	"crypto/sha256"
	"encoding/hex"
)

// TokenHash returns the hex-encoded SHA-256 hash of the token, which is how teams and
// host settings declare it.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
