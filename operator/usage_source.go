package operator

import (
	"time"

	"github.com/cornelyard/cornelyard/usage"
)

// UsageSource aggregates this host's usage and keeps the latest reports of other
// hosts, so that the usage of failed hosts is not lost.
type UsageSource interface {
	Report(now time.Time) usage.Report
	RemoteReports() []usage.Report
	Merge(report usage.Report)
}
