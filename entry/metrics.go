package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/claim"
	names "github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/outcome"
)

// metrics records the entry's metrics.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{scope: scope}
	// Creating the counter at start exports it as zero, so that a missing series
	// shows a fault.
	m.claimCounter(names.ClaimMade)
	return m
}

func (m *metrics) recordFinished(c *call, result outcome.Outcome, reason outcome.Reason) {
	scope := m.scope.Tagged(map[string]string{
		names.TagTier:    string(c.identity.tier),
		names.TagPool:    string(c.pool),
		names.TagOutcome: string(result),
		names.TagReason:  string(reason),
	})
	scope.Counter(names.EntryRequestsFinished).Inc(1)
	names.Latency(scope, names.EntryRequestTime).RecordDuration(time.Since(c.arrived))
}

func (m *metrics) recordFirstToken(c *call, wait time.Duration) {
	tags := map[string]string{names.TagTier: string(c.identity.tier), names.TagPool: string(c.pool)}
	names.Latency(m.scope.Tagged(tags), names.EntryFirstTokenTime).RecordDuration(wait)
}

func (m *metrics) recordRefused(reason outcome.Reason) {
	m.scope.Tagged(map[string]string{names.TagReason: string(reason)}).Counter(names.EntryRequestsRefused).Inc(1)
}

// recordClaim counts the result of looking up or claiming an idempotency key. A
// free key is counted only when it is claimed.
func (m *metrics) recordClaim(f claim.Result) {
	result := names.ClaimMade
	switch {
	case f.Unclaimed():
		return
	case f.Response != nil:
		result = names.ClaimReplayed
	case f.Refusal != nil:
		result = string(f.Refusal.Reason)
	}
	m.claimCounter(result).Inc(1)
}

func (m *metrics) claimCounter(result string) tally.Counter {
	return m.scope.Tagged(map[string]string{names.TagResult: result}).Counter(names.EntryClaims)
}

func (m *metrics) setInFlight(requests int) {
	m.scope.Gauge(names.EntryRequestsInFlight).Update(float64(requests))
}
