package gateway

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/metrics"
)

// trafficMonitor reports the datagrams with states. It is not safe for concurrent use.
type trafficMonitor struct {
	logger   *log.Logger
	frequent bool
}

// update updates the gauges, and logs when the intervals between states have changed.
func (m *trafficMonitor) update(now time.Time, scope tally.Scope, e *hoststate.Exchange) {
	sent, received, frequent := e.Traffic(now)
	scope.Gauge(metrics.GatewayStatesSent).Update(float64(sent))
	scope.Gauge(metrics.GatewayStatesReceived).Update(float64(received))
	value := 0.0
	if frequent {
		value = 1
	}
	scope.Gauge(metrics.GatewayStatesFrequent).Update(value)
	if frequent != m.frequent {
		m.frequent = frequent
		m.logger.Info().Bool("frequent", frequent).Int64("sent", sent).Int64("received", received).
			Msg("The intervals between states have changed, because requests wait or no longer do.")
	}
}
