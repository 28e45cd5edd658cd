package settings

import (
	"crypto/sha256"
	"encoding/hex"
)

// TokenHash returns the SHA-256 hash, in hex, under which a token is declared.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
