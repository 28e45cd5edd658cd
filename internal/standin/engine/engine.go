package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// maxRuns limits the number of recorded runs. The oldest are removed first.
const maxRuns = 200_000

// Engine is the stand-in for a model engine. It is safe for concurrent use. Run must
// be running while the engine serves requests.
type Engine struct {
	options Options
	frozen  standin.Gate
	// wake signals that there may be new work.
	wake chan struct{}

	mu           sync.Mutex
	faults       Faults
	waiting      []*run
	batch        []*run
	history      []*run
	byID         map[string]*run
	refused      map[string]int
	cache        *prefixCache
	load         loadHistory
	pendingSwap  *responseSwap
	generatedIDs int
}

// New returns an engine without requests.
func New(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{
		options: o,
		wake:    make(chan struct{}, 1),
		byID:    make(map[string]*run),
		refused: make(map[string]int),
		cache:   newPrefixCache(o.CacheBlocks),
	}
}

// Serve runs the engine and serves its target listener and control listener until ctx
// is done.
func (e *Engine) Serve(ctx context.Context, service, control net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.Run(ctx) })
	group.Go(func() error {
		return standin.Serve(ctx,
			standin.Endpoint{Listener: service, Handler: e.Handler()},
			standin.Endpoint{Listener: control, Handler: e.ControlHandler()},
		)
	})
	return group.Wait()
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.frozen.SetClosed(f.Freeze)
}

// Record returns what the engine processed since its start.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := Record{Runs: make([]RunRecord, 0, len(e.history)), Refused: make(map[string]int, len(e.refused))}
	for _, r := range e.history {
		record.Runs = append(record.Runs, r.record)
		record.PrefillTokens += int64(r.record.PrefillTokens)
		if r.record.State == RunCancelled {
			record.WastedPrefillTokens += int64(r.record.PrefillTokens)
		}
	}
	for id, count := range e.refused {
		record.Refused[id] = count
	}
	return record
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.load.at(time.Now().Add(-e.options.LoadLag))
	load.AgeMs = e.options.LoadLag.Milliseconds()
	return load
}
