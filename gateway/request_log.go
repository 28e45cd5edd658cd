package gateway

import (
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/relay"
)

// servedSample is the part of the requests served without trouble that get a log
// line: one in so many.
const servedSample = 16

// requestLog writes a line for each request that was refused, failed or repeated,
// and for a sample of the others. It implements relay.Observer.
type requestLog struct {
	logger *log.Logger
	served atomic.Uint64
}

var _ relay.Observer = (*requestLog)(nil)

// Finished implements relay.Observer.
func (l *requestLog) Finished(s relay.Summary) {
	smooth := s.Refusal == nil && s.Dispatches <= 1 && s.Status < 500
	if smooth && l.served.Add(1)%servedSample != 0 {
		return
	}
	entry := l.logger.Info().
		Str("request", string(s.Request)).
		Str("route", s.Route).
		Str("pool", string(s.Pool)).
		Str("team", string(s.Team)).
		Uint64("table", s.TableVersion).
		Str("target", string(s.Target)).
		Int("dispatches", s.Dispatches).
		Int64("queued_ms", s.Queued.Milliseconds()).
		Int64("first_ms", s.ToFirst.Milliseconds()).
		Float64("quota_cost", s.QuotaCost).
		Int64("total_ms", s.Total.Milliseconds()).
		Int("status", s.Status).
		Int("events", s.Events)
	if s.Dispatches > 0 {
		entry = entry.Str("result", s.Result.String())
	}
	if s.Refusal != nil {
		entry = entry.
			Str("outcome", string(s.Refusal.Outcome)).
			Str("reason", string(s.Refusal.Reason)).
			Int64("retry_after_ms", s.Refusal.RetryAfter.Milliseconds()).
			Bool("broken_off", s.BrokenOff)
	}
	entry.Msg("Request ended.")
}
