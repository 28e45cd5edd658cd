package operator

import (
	"time"

	"github.com/cornelyard/cornelyard/usage"
)

// UsageSource counts this host's usage and keeps the last reports of others, so
// that those of lost hosts are not lost with them.
type UsageSource interface {
	Report(now time.Time) usage.Report
	RemoteReports() []usage.Report
	Merge(report usage.Report)
}
