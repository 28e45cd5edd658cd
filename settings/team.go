package settings

import "github.com/cornelyard/cornelyard/ident"

// Team declares one customer. File: teams/<name>/team.json.
type Team struct {
	Name ident.Team `json:"-"`
	// AdminTokenHashes are SHA-256 hashes, in hex, of the tokens that may
	// change the team's subtree.
	AdminTokenHashes []string `json:"adminTokenHashes,omitempty" jsonschema_description:"SHA-256 hashes, in hex, of the tokens that may change the team's subtree"`
	// CallerTokenHashes are SHA-256 hashes, in hex, of the callers' tokens.
	CallerTokenHashes []string `json:"callerTokenHashes" jsonschema_description:"SHA-256 hashes, in hex, of the callers' tokens"`
	// DefaultTier is used when the caller names none.
	DefaultTier ident.Tier `json:"defaultTier" jsonschema_description:"tier of requests that name none"`
}
