package settings

import "github.com/cornelyard/cornelyard/ident"

// Team declares a customer. File: teams/<name>/team.json.
type Team struct {
	Name ident.Team `json:"-"`
	// AdminTokenHashes are the hex-encoded SHA-256 hashes of the tokens that may
	// change the team's subtree.
	AdminTokenHashes []string `json:"adminTokenHashes,omitempty" jsonschema_description:"SHA-256 hashes, in hex, of the tokens that may change the team's subtree"`
	// CallerTokenHashes are the hex-encoded SHA-256 hashes of the tokens that callers
	// present.
	CallerTokenHashes []string `json:"callerTokenHashes" jsonschema_description:"SHA-256 hashes, in hex, of the callers' tokens"`
	// DefaultTier applies to requests that name no tier.
	DefaultTier ident.Tier `json:"defaultTier" jsonschema_description:"tier of requests that name none"`
}
