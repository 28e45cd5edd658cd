package operator

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// timelineQuery requests the events of a host.
type timelineQuery struct {
	Since   timeline.Timestamp `json:"since"`
	Request ident.Request      `json:"request"`
	Limit   int                `json:"limit"`
}
