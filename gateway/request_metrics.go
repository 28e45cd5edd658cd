package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/relay"
)

// maxClass is the highest team priority with its own class in the metrics. Higher
// priorities are counted in this class.
const maxClass = 9

// outcomeFailed is the outcome label for error responses from targets.
const outcomeFailed = "failed"

// requestMetrics counts requests. It implements relay.Observer.
type requestMetrics struct {
	scope tally.Scope
}

var _ relay.Observer = (*requestMetrics)(nil)

// Finished implements relay.Observer.
func (m *requestMetrics) Finished(s relay.Summary) {
	kind := map[string]string{metrics.TagKind: s.Kind.String()}
	result, reason := requestOutcome(&s)
	m.scope.Tagged(map[string]string{
		metrics.TagKind:    s.Kind.String(),
		metrics.TagClass:   strconv.Itoa(min(s.Priority, maxClass)),
		metrics.TagOutcome: result,
		metrics.TagReason:  reason,
	}).Counter(metrics.GatewayRequests).Inc(1)
	scope := m.scope.Tagged(kind)
	m.record(scope, metrics.GatewayTotalTime, s.TotalTime)
	if s.Dispatches > 0 {
		m.record(scope, metrics.GatewayQueueTime, s.QueueTime)
	}
	if s.TimeToFirstEvent > 0 {
		m.record(scope, metrics.GatewayFirstEventTime, s.TimeToFirstEvent)
	}
	for i := range s.Steps {
		m.countStep(&s.Steps[i])
	}
}

// countStep counts the end of an exchange and why a failed request was not retried.
func (m *requestMetrics) countStep(step *relay.Step) {
	switch step.Kind {
	case relay.StepAttemptEnded:
		tags := map[string]string{metrics.TagResult: step.Result.String()}
		m.scope.Tagged(tags).Counter(metrics.GatewayExchanges).Inc(1)
	case relay.StepRetryDenied:
		tags := map[string]string{metrics.TagReason: string(step.RetryDenial)}
		m.scope.Tagged(tags).Counter(metrics.GatewayRetriesDenied).Inc(1)
	default:
	}
}

func (m *requestMetrics) record(scope tally.Scope, name string, d time.Duration) {
	metrics.Latency(scope, name).RecordDuration(d)
}

// requestOutcome returns the outcome and the reason of a request.
func requestOutcome(s *relay.Summary) (result, reason string) {
	switch {
	case s.Refusal != nil:
		return string(s.Refusal.Outcome), string(s.Refusal.Reason)
	case s.Status >= 500:
		return outcomeFailed, ""
	default:
		return string(outcome.Completed), ""
	}
}

// multiObserver passes each summary to several observers.
type multiObserver []relay.Observer

// Finished implements relay.Observer.
func (o multiObserver) Finished(s relay.Summary) {
	for _, observer := range o {
		observer.Finished(s)
	}
}
