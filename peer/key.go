package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
)

// hkdfInfo is the HKDF context that separates certificate keys from other uses of a
// peer key.
const hkdfInfo = "cornelyard peer certificate"

// Key is a secret shared by all hosts. Every process that has it can join the mesh.
type Key [keyBytes]byte

// ParseKey parses a key of 64 hexadecimal digits.
func ParseKey(text string) (Key, error) {
	var k Key
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != keyBytes {
		return k, Error.New("peer key must be 64 hexadecimal digits")
	}
	copy(k[:], raw)
	return k, nil
}

// ParseKeys parses several keys.
func ParseKeys(texts []string) ([]Key, error) {
	keys := make([]Key, 0, len(texts))
	for _, text := range texts {
		k, err := ParseKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// certificateKey derives the private key of the certificate.
func (k Key) certificateKey() (ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, k[:], nil, hkdfInfo, ed25519.SeedSize)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
