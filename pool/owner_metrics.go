package pool

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/metrics"
)

// ownerMetrics publishes the metrics of one pool's owner.
type ownerMetrics struct {
	scope tally.Scope
	// lastSnapshot is the snapshot that was published last; clear sets its gauges to
	// zero.
	lastSnapshot *admission.Snapshot
}

func newOwnerMetrics(scope tally.Scope, pool ident.Pool) *ownerMetrics {
	return &ownerMetrics{scope: scope.Tagged(map[string]string{metrics.TagPool: string(pool)})}
}

func (m *ownerMetrics) tier(tier ident.Tier) tally.Scope {
	return m.scope.Tagged(map[string]string{metrics.TagTier: string(tier)})
}

func (m *ownerMetrics) target(target ident.Target) tally.Scope {
	return m.scope.Tagged(map[string]string{metrics.TagTarget: string(target)})
}

func (m *ownerMetrics) granted(now time.Time, r *admission.Request) {
	m.scope.Counter(metrics.Grants).Inc(1)
	metrics.Latency(m.tier(r.Tier), metrics.QueueAge).RecordDuration(now.Sub(r.Arrived))
}

func (m *ownerMetrics) declined(cause admission.DeclineCause) {
	tags := map[string]string{metrics.TagReason: string(cause)}
	m.scope.Tagged(tags).Counter(metrics.GrantsDeclined).Inc(1)
}

func (m *ownerMetrics) preempted(r *admission.Request) {
	m.tier(r.Tier).Counter(metrics.Preemptions).Inc(1)
}

// update sets the gauges for queues and slots. It also creates the queue age
// histogram of each tier, so that a tier without grants exports an empty one.
func (m *ownerMetrics) update(s *admission.Snapshot) {
	m.lastSnapshot = s
	for _, tier := range s.Tiers {
		scope := m.tier(tier.Tier)
		scope.Gauge(metrics.QueueLength).Update(float64(tier.Queued))
		metrics.Latency(scope, metrics.QueueAge)
	}
	for _, target := range s.Targets {
		scope := m.target(target.Target)
		scope.Gauge(metrics.Slots).Update(float64(target.Slots))
		scope.Gauge(metrics.SlotsTaken).Update(float64(target.RunningRequests))
	}
}

// clear sets the gauges to zero when this host stops scheduling the pool.
func (m *ownerMetrics) clear() {
	if m.lastSnapshot == nil {
		return
	}
	zero := admission.Snapshot{}
	for _, tier := range m.lastSnapshot.Tiers {
		zero.Tiers = append(zero.Tiers, admission.TierSnapshot{Tier: tier.Tier})
	}
	for _, target := range m.lastSnapshot.Targets {
		zero.Targets = append(zero.Targets, admission.TargetSnapshot{Target: target.Target})
	}
	m.update(&zero)
}
