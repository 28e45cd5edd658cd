package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/saturation"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// sampleInterval is the time between two samples of the delay. It does not divide the 100 ms
	// period of Linux's processor quotas, so that samples fall on different parts of the period.
	sampleInterval = 30 * time.Millisecond
	// idleSampleInterval is used while no requests are in progress. It is aligned with other periodic
	// loops, to save wake-ups.
	idleSampleInterval = 100 * time.Millisecond
)

// saturationMonitor measures by how much this host delays requests, and refuses new ones while that is
// too much. It implements relay.Gate.
type saturationMonitor struct {
	logger   *log.Logger
	inFlight func() int
	sendTime func() time.Duration

	mu         sync.Mutex
	controller *saturation.Controller
}

func newSaturationMonitor(logger *log.Logger) *saturationMonitor {
	return &saturationMonitor{logger: logger, controller: saturation.NewController(rand.Float64)}
}

// Admits decides on a new request.
func (m *saturationMonitor) Admits(now time.Time, rank schedule.Rank) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controller.Admits(now, rank)
}

// run takes samples until ctx is done.
func (m *saturationMonitor) run(ctx context.Context) error {
	for {
		now := time.Now()
		wait := sampleInterval
		if m.inFlight() == 0 {
			wait = periodic.UntilNext(now, idleSampleInterval)
		}
		if !periodic.Sleep(ctx, wait) {
			return nil
		}
		m.record(saturation.Sample{Lateness: max(time.Since(now)-wait, 0), SendTime: m.sendTime(), InFlight: m.inFlight()})
	}
}

// record takes in a sample, and logs when the host begins to refuse requests and when it no longer does.
func (m *saturationMonitor) record(s saturation.Sample) {
	m.mu.Lock()
	changed := m.controller.Record(s)
	level, delay := m.controller.Level(), m.controller.Delay()
	m.mu.Unlock()
	if !changed {
		return
	}
	entry, event, message := m.logger.Info(), eventlog.EventHostRelieved, "Host is no longer saturated; it refuses no new requests."
	if level > 0 {
		entry, event, message = m.logger.Warn(), eventlog.EventHostSaturated, "Host is saturated; refusing the least urgent new requests."
	}
	entry.Str(eventlog.FieldEvent, event).Dur("delay", delay).Dur("lateness", s.Lateness).
		Dur("send_time", s.SendTime).Int("requests", s.InFlight).Msg(message)
}

// update updates the gauges.
func (m *saturationMonitor) update(scope tally.Scope) {
	m.mu.Lock()
	level, delay := m.controller.Level(), m.controller.Delay()
	m.mu.Unlock()
	scope.Gauge(metrics.GatewaySaturation).Update(level)
	scope.Gauge(metrics.GatewayHostDelay).Update(delay.Seconds())
}
