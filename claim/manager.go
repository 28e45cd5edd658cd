package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cornelyard/cornelyard/storage"
)

// maxPendingFinalizations is the maximum number of concurrent finalizations.
const maxPendingFinalizations = 4096

// Manager claims idempotency keys for the requests of this host. Claims succeed only
// while Run is running.
type Manager struct {
	options        Options
	committer      *committer
	local          *localClaims
	circuitBreaker circuitBreaker

	// mu guards stopped.
	mu sync.Mutex
	// stopped reports that no finalization may start.
	stopped bool
	// finalizing tracks the running finalizations; finalizationSlots limits their
	// number.
	finalizing        sync.WaitGroup
	finalizationSlots chan struct{}
	// finalizeCtx is cancelled to abort unfinished finalizations.
	finalizeCtx    context.Context
	cancelFinalize context.CancelFunc
}

// New returns a Manager.
func New(o Options) *Manager {
	o = o.withDefaults()
	finalizeCtx, cancelFinalize := context.WithCancel(context.Background())
	return &Manager{
		options:           o,
		committer:         newCommitter(o.Table, o.CommitTimeout),
		local:             newLocalClaims(),
		finalizationSlots: make(chan struct{}, maxPendingFinalizations),
		finalizeCtx:       finalizeCtx,
		cancelFinalize:    cancelFinalize,
	}
}

// Run writes claims until ctx ends and then waits up to StopTimeout for unfinished
// finalizations. The entry must be drained before ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	commitCtx, stopCommitter := context.WithCancel(context.WithoutCancel(ctx))
	committed := make(chan struct{})
	go func() {
		defer close(committed)
		m.committer.run(commitCtx)
	}()
	<-ctx.Done()
	err := m.waitForFinalizations()
	stopCommitter()
	<-committed
	return err
}

func (m *Manager) waitForFinalizations() error {
	m.rejectFinalizations()
	finalized := make(chan struct{})
	go func() {
		m.finalizing.Wait()
		close(finalized)
	}()
	timer := time.NewTimer(m.options.StopTimeout)
	defer timer.Stop()
	select {
	case <-finalized:
		m.cancelFinalize()
		return nil
	case <-timer.C:
		unfinished := len(m.finalizationSlots)
		m.cancelFinalize()
		<-finalized
		return Error.New("stopping with %d claims whose final state was not written", unfinished)
	}
}

func (m *Manager) rejectFinalizations() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// beginFinalization returns false if the manager is stopping.
func (m *Manager) beginFinalization() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	m.finalizing.Add(1)
	return true
}

// Lookup looks up the request's key. If the same request is running on this host,
// Lookup waits for its end or the end of ctx.
func (m *Manager) Lookup(ctx context.Context, r Request) Result {
	if local := m.local.get(r.rowKey()); local != nil {
		return waitForLocal(ctx, local, r)
	}
	return m.lookupRow(ctx, r)
}

// waitForLocal waits for the request that holds the key on this host.
func waitForLocal(ctx context.Context, local *localClaim, r Request) Result {
	if local.digest != r.Digest {
		return Result{Refusal: refuseConflict()}
	}
	select {
	case <-local.ended:
	case <-ctx.Done():
		return Result{Refusal: refuseHeld()}
	}
	if local.released {
		return Result{Refusal: refuseUnavailable()}
	}
	return Result{Response: local.response, Refusal: local.refusal}
}

// lookupRow looks up the key on the platform.
func (m *Manager) lookupRow(ctx context.Context, r Request) Result {
	if m.circuitBreaker.isOpen(time.Now()) {
		return Result{Refusal: refuseUnavailable()}
	}
	row, err := m.get(ctx, r.rowKey())
	if errors.Is(err, storage.ErrNotFound) {
		return Result{}
	}
	if err != nil {
		return Result{Refusal: refuseUnavailable()}
	}
	return m.evaluate(ctx, r, row.Value)
}

func (m *Manager) get(ctx context.Context, key string) (storage.Row, error) {
	bounded, cancel := context.WithTimeout(ctx, m.options.LookupTimeout)
	defer cancel()
	row, err := m.options.Table.Get(bounded, key)
	switch {
	case err == nil || errors.Is(err, storage.ErrNotFound):
		m.circuitBreaker.recordSuccess()
	case ctx.Err() == nil:
		m.circuitBreaker.recordFailure(time.Now())
	}
	return row, err
}

func newToken() token { return token(uuid.NewString()) }
