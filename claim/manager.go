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
const maxSettling = 4096

// Manager claims idempotency keys for the requests of this host. Run must be
// running for claims to succeed.
type Manager struct {
	options   Options
	committer *committer
	local     *localClaims
	outage    outage

	// mu guards stopped.
	mu sync.Mutex
	// stopped says that no settlement may begin.
	stopped bool
	// settling counts unfinished settlements, slots bounds them.
	settling sync.WaitGroup
	slots    chan struct{}
	// stopping ends unfinished settlements.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns Claims.
func New(o Options) *Manager {
	o = o.withDefaults()
	stopping, stop := context.WithCancel(context.Background())
	return &Manager{
		options:   o,
		committer: newCommitter(o.Table, o.CommitTimeout),
		local:     newLocalClaims(),
		slots:     make(chan struct{}, maxSettling),
		stopping:  stopping,
		stop:      stop,
	}
}

// Run writes claims until ctx ends, and what is unfinished then for a bounded
// time. The entry must be drained before.
func (c *Manager) Run(ctx context.Context) error {
	committing, stopCommitting := context.WithCancel(context.WithoutCancel(ctx))
	committed := make(chan struct{})
	go func() {
		defer close(committed)
		c.committer.run(committing)
	}()
	<-ctx.Done()
	err := c.finishSettling()
	stopCommitting()
	<-committed
	return err
}

func (c *Manager) finishSettling() error {
	c.refuseSettlements()
	settled := make(chan struct{})
	go func() {
		c.settling.Wait()
		close(settled)
	}()
	timer := time.NewTimer(c.options.StopTimeout)
	defer timer.Stop()
	select {
	case <-settled:
		c.stop()
		return nil
	case <-timer.C:
		unfinished := len(c.slots)
		c.stop()
		<-settled
		return Error.New("%d claims could not be settled before the end", unfinished)
	}
}

func (c *Manager) refuseSettlements() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// beginSettling returns false if the claims are stopped.
func (c *Manager) beginSettling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.settling.Add(1)
	return true
}

// Lookup looks the request's key up. It waits for the end of the same request if
// that runs on this host, at most until ctx ends.
func (c *Manager) Lookup(ctx context.Context, r Request) Result {
	if local := c.local.get(r.rowKey()); local != nil {
		return attach(ctx, local, r)
	}
	return c.read(ctx, r)
}

// attach waits for the request that has the key on this host.
func attach(ctx context.Context, local *localClaim, r Request) Result {
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
	return Result{Response: local.answer, Refusal: local.refusal}
}

// read looks the key up on the platform.
func (c *Manager) read(ctx context.Context, r Request) Result {
	if c.outage.lasts(time.Now()) {
		return Result{Refusal: refuseUnavailable()}
	}
	row, err := c.get(ctx, r.rowKey())
	if errors.Is(err, storage.ErrNotFound) {
		return Result{}
	}
	if err != nil {
		return Result{Refusal: refuseUnavailable()}
	}
	return c.judge(ctx, r, row.Value)
}

func (c *Manager) get(ctx context.Context, key string) (storage.Row, error) {
	bounded, cancel := context.WithTimeout(ctx, c.options.LookupTimeout)
	defer cancel()
	row, err := c.options.Table.Get(bounded, key)
	switch {
	case err == nil || errors.Is(err, storage.ErrNotFound):
		c.outage.over()
	case ctx.Err() == nil:
		c.outage.seen(time.Now())
	}
	return row, err
}

func newToken() token { return token(uuid.NewString()) }
