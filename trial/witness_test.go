package trial

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/target"
)

// scriptedProbe holds the results of the successive probes of each address; the last one is
// repeated.
type scriptedProbe struct {
	mu      sync.Mutex
	results map[string][]target.ProbeResult
	made    int
}

func (p *scriptedProbe) probe(_ context.Context, address string) target.ProbeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made++
	script := p.results[address]
	if len(script) > 1 {
		p.results[address] = script[1:]
	}
	return script[0]
}

// await waits until n probes were made.
func (p *scriptedProbe) await(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		made := p.made
		p.mu.Unlock()
		if made >= n {
			return
		}
	}
	t.Fatalf("timed out waiting for %d probes", n)
}

func TestTargetThatIsKnownOnlyLaterIsObserved(t *testing.T) {
	p := &scriptedProbe{results: map[string][]target.ProbeResult{"later": {target.ProbeConnected, target.ProbeRefused}}}
	started := time.Now()
	w := NewWitness(t.Context(), p.probe, func() []Observed {
		if time.Since(started) < observeInterval/2 {
			return nil
		}
		return []Observed{{Name: "t", Address: "later"}}
	})
	p.await(t, 1)
	if lost := w.Lost(t.Context()); len(lost) != 1 {
		t.Errorf("got lost targets %v, want one", lost)
	}
}

func TestOnlyTargetsThatEndedDuringTheTrialAreLost(t *testing.T) {
	p := &scriptedProbe{results: map[string][]target.ProbeResult{
		"alive":       {target.ProbeConnected},
		"ended":       {target.ProbeConnected, target.ProbeRefused},
		"away before": {target.ProbeRefused},
	}}
	observed := make([]Observed, 0, len(p.results))
	for address := range p.results {
		observed = append(observed, Observed{Name: "t", Address: address})
	}
	w := NewWitness(t.Context(), p.probe, func() []Observed { return observed })
	p.await(t, len(observed))
	lost := w.Lost(t.Context())
	if want := []Observed{{Name: "t", Address: "ended"}}; !slices.Equal(lost, want) {
		t.Errorf("got lost targets %v, want %v", lost, want)
	}
}
