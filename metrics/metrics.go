package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// namePrefix is the first part of every metric name.
	namePrefix = "cornelyard"
	// reportInterval is the interval at which values are passed to the reporter.
	reportInterval = time.Second
)

// Metrics provides the metrics of one process.
type Metrics struct {
	// Scope is the root scope. Components use it or a subscope of it.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// Closer stops reporting. The handler then serves the last values.
	Closer io.Closer
}

// New returns metrics with a separate registry, so that several hosts can run in one
// process.
func New() Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: prom.NewRegistry(),
		// Registering a name with two different sets of tags is a programming error,
		// but must not stop the process.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namePrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler(), Closer: closer}
}
