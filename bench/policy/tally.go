package policy

import (
	"slices"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/outcome"
)

// tally collects the answers of one tier in one phase.
type tally struct {
	mu         sync.Mutex
	counts     Counts
	finish     []time.Duration
	firstToken []time.Duration
	gap        []time.Duration
}

// add takes in one answer.
func (t *tally) add(answer chatclient.Response, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Offered++
	if answer.Tokens > 0 {
		t.firstToken = append(t.firstToken, answer.FirstToken)
	}
	if answer.Tokens > 1 {
		t.gap = append(t.gap, (answer.Total-answer.FirstToken)/time.Duration(answer.Tokens-1))
	}
	if answer.Whole {
		t.finish = append(t.finish, answer.Total)
	}
	*t.counts.of(answer, deadline)++
}

// of returns the count that an answer belongs to.
func (c *Counts) of(answer chatclient.Response, deadline time.Duration) *int {
	reason := answer.Reason
	if answer.Err != nil {
		reason = answer.Err.Code
	}
	switch {
	case answer.Whole && answer.Total <= deadline:
		return &c.Good
	case answer.Whole || reason == outcome.DeadlineExceeded && answer.Status == 200:
		return &c.Late
	case reason == outcome.DeadlineExceeded:
		return &c.Expired
	case reason == outcome.Shed:
		return &c.Shed
	case reason == outcome.Infeasible:
		return &c.Infeasible
	case reason == outcome.Preempted:
		return &c.Preempted
	default:
		return &c.Failed
	}
}

// quantile returns a quantile of the times in milliseconds; it sorts them.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
}

func (t *tally) times() Times {
	return Times{
		FinishP50Ms:     quantile(t.finish, 0.5),
		FinishP99Ms:     quantile(t.finish, 0.99),
		FirstTokenP50Ms: quantile(t.firstToken, 0.5),
		FirstTokenP99Ms: quantile(t.firstToken, 0.99),
		GapP50Ms:        quantile(t.gap, 0.5),
		GapP99Ms:        quantile(t.gap, 0.99),
	}
}
