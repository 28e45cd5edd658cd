package trial

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/target"
)

const (
	// MaxWitnesses is the largest number of targets that a Witness observes.
	MaxWitnesses = 3
	// observeInterval is the time between two looks for targets that can be observed.
	observeInterval = 250 * time.Millisecond
	// commonCauseDelay is how long after the crash of a trial's target other targets are
	// probed. Targets that crash of one cause don't do so at the same instant.
	commonCauseDelay = 300 * time.Millisecond
)

// Observed is a target that a Witness observes.
type Observed struct {
	Name    ident.Target
	Address string
}

// Witness finds out whether other targets ended during a trial, which points to a common
// cause instead of the content.
type Witness struct {
	probe func(ctx context.Context, address string) target.ProbeResult
	// candidates returns the targets that may be observed.
	candidates func() []Observed
	stop       context.CancelFunc
	// alive receives the targets that accepted a connection during the trial.
	alive chan []Observed
}

// NewWitness observes targets that do not run the trial until ctx ends or Lost is called. It
// does not block. Candidates that are known only later are observed from then on.
func NewWitness(
	ctx context.Context, probe func(ctx context.Context, address string) target.ProbeResult, candidates func() []Observed,
) *Witness {
	ctx, stop := context.WithCancel(ctx)
	w := &Witness{probe: probe, candidates: candidates, stop: stop, alive: make(chan []Observed, 1)}
	go w.observe(ctx)
	return w
}

func (w *Witness) observe(ctx context.Context) {
	var alive []Observed
	for {
		if room := MaxWitnesses - len(alive); room > 0 {
			alive = append(alive, w.probeAll(ctx, w.newCandidates(alive, room), target.ProbeConnected)...)
		}
		if !periodic.Sleep(ctx, observeInterval) {
			w.alive <- alive
			return
		}
	}
}

// newCandidates returns up to n candidates that are not observed yet.
func (w *Witness) newCandidates(observed []Observed, n int) []Observed {
	var found []Observed
	for _, c := range w.candidates() {
		if len(found) < n && !slices.Contains(observed, c) {
			found = append(found, c)
		}
	}
	return found
}

// Lost returns the observed targets that ended during the trial. It is called after the
// target of the trial has crashed, and waits a moment for others.
func (w *Witness) Lost(ctx context.Context) []Observed {
	w.stop()
	alive := <-w.alive
	if len(alive) == 0 || !periodic.Sleep(ctx, commonCauseDelay) {
		return nil
	}
	return w.probeAll(ctx, alive, target.ProbeRefused)
}

// probeAll returns the targets whose probe has the wanted result.
func (w *Witness) probeAll(ctx context.Context, targets []Observed, want target.ProbeResult) []Observed {
	results := make([]target.ProbeResult, len(targets))
	var group sync.WaitGroup
	for i := range targets {
		group.Go(func() { results[i] = w.probe(ctx, targets[i].Address) })
	}
	group.Wait()
	var matching []Observed
	for i, result := range results {
		if result == want {
			matching = append(matching, targets[i])
		}
	}
	return matching
}
