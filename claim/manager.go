package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cornelyard/cornelyard/storage"
)

// maxSettling bounds the settlements that wait for the platform.
const maxPendingFinalizations = 4096

// Manager claims idempotency keys for the requests of this host. Run must be
// running for claims to succeed.
type Manager struct {
	options        Options
	committer      *committer
	local          *localClaims
	circuitBreaker circuitBreaker

	// mu guards stopped.
	mu sync.Mutex
	// stopped says that no settlement may begin.
	stopped bool
	// settling counts unfinished settlements, slots bounds them.
	finalizing        sync.WaitGroup
	finalizationSlots chan struct{}
	// stopping ends unfinished settlements.
	finalizeCtx    context.Context
	cancelFinalize context.CancelFunc
}

// New returns Claims.
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

// Run writes claims until ctx ends, and what is unfinished then for a bounded
// time. The entry must be drained before.
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
		return Error.New("%d claims could not be settled before the end", unfinished)
	}
}

func (m *Manager) rejectFinalizations() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// beginSettling returns false if the claims are stopped.
func (m *Manager) beginFinalization() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	m.finalizing.Add(1)
	return true
}

// Lookup looks the request's key up. It waits for the end of the same request if
// that runs on this host, at most until ctx ends.
func (m *Manager) Lookup(ctx context.Context, r Request) Result {
	if local := m.local.get(r.rowKey()); local != nil {
		return waitForLocal(ctx, local, r)
	}
	return m.lookupRow(ctx, r)
}

// attach waits for the request that has the key on this host.
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

// read looks the key up on the platform.
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
