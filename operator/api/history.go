package api

import "github.com/cornelyard/cornelyard/settings"

// History is one page of the accepted changes, oldest first.
type History struct {
	// Head is the newest version.
	Head    uint64            `json:"head"`
	Records []settings.Record `json:"records"`
}
