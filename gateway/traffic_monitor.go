package gateway

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/metrics"
)

// trafficMonitor reports the datagrams with states. It is not safe for concurrent use.
type trafficMonitor struct {
	logger   *log.Logger
	frequent bool
	// shortened is the number of shortened messages at the last update, and limited says that it
	// had grown then.
	shortened int64
	limited   bool
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
	m.updateShortened(scope, e.Shortened())
	if frequent != m.frequent {
		m.frequent = frequent
		m.logger.Info().Bool("frequent", frequent).Int64("sent", sent).Int64("received", received).
			Msg("The intervals between states have changed, because requests wait or no longer do.")
	}
}

// updateShortened updates the gauge, and logs when states begin to wait for the link and when they no
// longer do.
func (m *trafficMonitor) updateShortened(scope tally.Scope, shortened int64) {
	scope.Gauge(metrics.GatewayStatesShortened).Update(float64(shortened))
	limited := shortened > m.shortened
	m.shortened = shortened
	if limited != m.limited {
		m.limited = limited
		m.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStatesLimited).Bool("limited", limited).Int64("shortened", shortened).
			Msg("States for other cells wait for their share of the link, or no longer do.")
	}
}
