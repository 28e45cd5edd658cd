package faultrun

import (
	"github.com/cornelyard/cornelyard/ident"
)

// plannedStop is one planned stop of a host.
type plannedStop struct {
	host   ident.Host
	span   span
	status int
}
