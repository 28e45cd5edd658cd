package api

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// Cursor is the position up to which the events of one host were read.
type Cursor struct {
	Host  ident.Host         `json:"host"`
	Since timeline.Timestamp `json:"since"`
}
