package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// source identifies whose usage is reported: another host, or all hosts of another
// data centre together. Exactly one field is set.
type source struct {
	host       ident.Host
	dataCentre ident.DataCentre
}

// sourceState is what is known about a source.
type sourceState struct {
	// hosts is the number of hosts whose usage it covers.
	hosts        int
	lastReportAt time.Time
	// limitedUntil is one window after the end of a long silence.
	limitedUntil time.Time
}

// staleSource is a source whose reports are missing, or were for long within the
// window.
type staleSource struct {
	source
	hosts int
	// recovered is set if its reports arrive again.
	recovered bool
}

// reporter is the host whose totals for its data centre are counted.
type reporter struct {
	host         ident.Host
	lastReportAt time.Time
}
