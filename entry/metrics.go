package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/claim"
	names "github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/outcome"
)

// metrics counts what the entry does.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{scope: scope}
	// The counter is served from the start, so that its absence means something.
	m.claims(names.ClaimMade)
	return m
}

func (m *metrics) finished(c *call, result outcome.Outcome, reason outcome.Reason) {
	scope := m.scope.Tagged(map[string]string{
		names.TagTier:    string(c.identity.tier),
		names.TagPool:    string(c.pool),
		names.TagOutcome: string(result),
		names.TagReason:  string(reason),
	})
	scope.Counter(names.EntryRequestsFinished).Inc(1)
	names.Latency(scope, names.EntryRequestTime).RecordDuration(time.Since(c.arrived))
}

func (m *metrics) firstToken(c *call, wait time.Duration) {
	tags := map[string]string{names.TagTier: string(c.identity.tier), names.TagPool: string(c.pool)}
	names.Latency(m.scope.Tagged(tags), names.EntryFirstTokenTime).RecordDuration(wait)
}

func (m *metrics) refused(reason outcome.Reason) {
	m.scope.Tagged(map[string]string{names.TagReason: string(reason)}).Counter(names.EntryRequestsRefused).Inc(1)
}

// claim counts what was found of an idempotency key; a free key is counted when
// it is claimed.
func (m *metrics) claim(f claim.Result) {
	result := names.ClaimMade
	switch {
	case f.Unclaimed():
		return
	case f.Response != nil:
		result = names.ClaimReplayed
	case f.Refusal != nil:
		result = string(f.Refusal.Reason)
	}
	m.claims(result).Inc(1)
}

func (m *metrics) claims(result string) tally.Counter {
	return m.scope.Tagged(map[string]string{names.TagResult: result}).Counter(names.EntryClaims)
}

func (m *metrics) held(requests int) {
	m.scope.Gauge(names.EntryRequestsHeld).Update(float64(requests))
}
