package gateway

import (
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/metrics"
)

// Kinds of buffers in metrics and in the log.
const (
	bufferRequests  = "requests"
	bufferResponses = "responses"
)

// bufferMonitor reports the memory that one kind of buffers uses.
type bufferMonitor struct {
	kind   string
	budget *bytebudget.Budget
	logger *log.Logger
	// refused and evicted are what was reported last.
	refused uint64
	evicted uint64
}

// update updates the gauges, and logs that memory was refused since the last call.
func (m *bufferMonitor) update(scope tally.Scope) {
	refused := m.budget.Refused()
	scope = scope.Tagged(map[string]string{metrics.TagKind: m.kind})
	scope.Gauge(metrics.GatewayBufferedBytes).Update(float64(m.budget.Used()))
	scope.Gauge(metrics.GatewayBuffersRefused).Update(float64(refused))
	evicted := m.budget.Evicted()
	scope.Gauge(metrics.GatewayBuffersEvicted).Update(float64(evicted))
	if refused > m.refused {
		m.logger.Warn().Str(eventlog.FieldEvent, eventlog.EventBuffersFull).Str(eventlog.FieldKind, m.kind).
			Uint64(eventlog.FieldRefused, refused-m.refused).Uint64(eventlog.FieldEvicted, evicted-m.evicted).
			Int64(eventlog.FieldBytes, m.budget.Used()).Msg("Request bodies were refused or responses not buffered for lack of memory.")
	}
	m.refused, m.evicted = refused, evicted
}
