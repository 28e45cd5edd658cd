package gateway

import (
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/schedule"
)

// distanceMonitor reports the distances to other data centres. It is not safe for concurrent use.
type distanceMonitor struct {
	logger *log.Logger
	// measured holds the data centres whose distance was known at the last update.
	measured map[ident.DataCentre]bool
}

// update updates the gauges, and logs when a distance becomes known and when it no longer is.
func (m *distanceMonitor) update(scope tally.Scope, distances []schedule.Distance) {
	measured := make(map[ident.DataCentre]bool, len(distances))
	for _, d := range distances {
		tagged := scope.Tagged(map[string]string{metrics.TagDataCentre: string(d.DataCentre)})
		tagged.Gauge(metrics.GatewayDistance).Update(d.Excess.Seconds())
		tagged.Gauge(metrics.GatewayDistanceMeasured).Update(boolGauge(d.Measured))
		tagged.Gauge(metrics.GatewayStateAge).Update(d.StateAge.Seconds())
		measured[d.DataCentre] = d.Measured
		if d.Measured != m.measured[d.DataCentre] {
			message := "The distance to a data centre is no longer measured; the default applies."
			if d.Measured {
				message = "The distance to a data centre is measured."
			}
			m.logger.Info().Str(eventlog.FieldEvent, eventlog.EventDistance).Str(eventlog.FieldDataCentre, string(d.DataCentre)).
				Bool("measured", d.Measured).Dur("excess", d.Excess).Dur("state_age", d.StateAge).Msg(message)
		}
	}
	m.reportRemoved(scope, measured)
	m.measured = measured
}

// reportRemoved resets the gauges of data centres that have no more targets.
func (m *distanceMonitor) reportRemoved(scope tally.Scope, listed map[ident.DataCentre]bool) {
	for dc, measured := range m.measured {
		if _, isListed := listed[dc]; isListed {
			continue
		}
		tagged := scope.Tagged(map[string]string{metrics.TagDataCentre: string(dc)})
		tagged.Gauge(metrics.GatewayDistance).Update(0)
		tagged.Gauge(metrics.GatewayDistanceMeasured).Update(0)
		tagged.Gauge(metrics.GatewayStateAge).Update(0)
		if measured {
			m.logger.Info().Str(eventlog.FieldEvent, eventlog.EventDistance).Str(eventlog.FieldDataCentre, string(dc)).
				Bool("measured", false).Msg("A data centre has no more targets.")
		}
	}
}
