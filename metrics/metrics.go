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
	// prefix begins the name of every metric.
	namePrefix = "cornelyard"
	// reportInterval is how often values reach the reporter.
	reportInterval = time.Second
)

// Metrics is the metrics of one process.
type Metrics struct {
	// Scope is the root scope; the parts get it, or a subscope of it.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// Closer stops the reporting; the handler then serves the last values.
	Closer io.Closer
}

// New returns metrics with a registry of their own, so that several hosts can
// run in one process.
func New() Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: prom.NewRegistry(),
		// A name that is used with two sets of tags is a fault of the program
		// that must not stop it.
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
