package settings

import (
	"encoding/hex"
	"strings"

	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// tokenHashDigits is the number of hex digits of a token hash.
const tokenHashDigits = 64

// checkTeam adds the findings of a team that do not depend on other documents.
func checkTeam(e *treeEntry) {
	if e.team.DefaultTier == "" {
		e.addFinding("defaultTier", "the tier is empty", "")
	}
	checkHashes(e, "adminTokenHashes", e.team.AdminTokenHashes)
	checkHashes(e, "callerTokenHashes", e.team.CallerTokenHashes)
}

func checkHashes(e *treeEntry, list strictjson.Path, hashes []string) {
	for i, hash := range hashes {
		if !ValidTokenHash(hash) {
			e.addFinding(list.Index(i), "this is not the hash of a token", "the SHA-256 of the token as 64 lower-case hex digits")
		}
	}
}

// ValidTokenHash reports whether hash has the format that TokenHash returns.
func ValidTokenHash(hash string) bool {
	if len(hash) != tokenHashDigits || strings.ToLower(hash) != hash {
		return false
	}
	_, err := hex.DecodeString(hash)
	return err == nil
}
