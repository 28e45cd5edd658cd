package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// TestFairness checks the fair shares of two teams that always have requests
// queued in one tier: their token-seconds per unit of weight never differ by
// more than the requests in all slots and one more can use.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		config := testConfig(1, slots)
		config.Pool.MaxQueue = 1000
		weights := map[ident.Team]float64{
			"large": float64(rapid.IntRange(1, 4).Draw(t, "large weight")),
			"small": float64(rapid.IntRange(1, 4).Draw(t, "small weight")),
		}
		config.Pool.Shares = weights
		s := newTestScheduler(config)
		used := make(map[ident.Team]float64)
		now, count, largest := epoch, 0, 0.0
		add := func(team ident.Team) {
			count++
			r := testRequest(fmt.Sprint(count), string(team), "desk")
			r.Arrived, r.Deadline = now, now.Add(time.Hour)
			r.PromptTokens = rapid.IntRange(1, 2000).Draw(t, "prompt")
			s.Enqueue(now, r)
		}
		for range 20 {
			add("large")
		}
		for range 5 {
			add("small")
		}
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			for _, action := range s.Decide(now) {
				add(action.(*Grant).Request.Team)
			}
			r := s.targets[0].running.items[0]
			e := End{
				ID: r.id(), Outcome: outcome.Completed, PromptTokens: r.request.PromptTokens,
				Tokens: 10, Prefill: time.Millisecond, Total: time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond,
			}
			cost := tokenSeconds(e.PromptTokens, e.Tokens, e.Total)
			largest = max(largest, cost, r.chargedTokenSeconds)
			used[r.request.Team] += cost / weights[r.request.Team]
			s.End(now, e)
			if gap, bound := used["large"]-used["small"], (slots+1)*largest; gap > bound || gap < -bound {
				t.Fatalf("usage per unit of weight: large %.1f, small %.1f; they may differ by %.1f", used["large"], used["small"], bound)
			}
		}
	})
}
