package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// reporter is the host whose totals for its data centre are counted.
type reporter struct {
	host         ident.Host
	lastReportAt time.Time
}
