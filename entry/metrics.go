package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/outcome"
)

// metrics counts what the entry does.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope.SubScope("entry")}
}

func (m *metrics) finished(c *call, result outcome.Outcome, reason outcome.Reason) {
	scope := m.scope.Tagged(map[string]string{
		"tier":    string(c.identity.tier),
		"pool":    string(c.pool),
		"outcome": string(result),
		"reason":  string(reason),
	})
	scope.Counter("requests_finished").Inc(1)
	scope.Timer("request_time").Record(time.Since(c.arrived))
}

func (m *metrics) firstToken(c *call, wait time.Duration) {
	tags := map[string]string{"tier": string(c.identity.tier), "pool": string(c.pool)}
	m.scope.Tagged(tags).Timer("first_token_time").Record(wait)
}

func (m *metrics) refused(reason outcome.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("requests_refused").Inc(1)
}

func (m *metrics) held(requests int) {
	m.scope.Gauge("requests_held").Update(float64(requests))
}
