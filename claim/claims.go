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

// Claims claims idempotency keys for the requests of this host. Run must be
// running for claims to succeed.
type Claims struct {
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
func New(o Options) *Claims {
	o = o.withDefaults()
	stopping, stop := context.WithCancel(context.Background())
	return &Claims{
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
func (c *Claims) Run(ctx context.Context) error {
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

func (c *Claims) finishSettling() error {
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

func (c *Claims) refuseSettlements() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// beginSettling returns false if the claims are stopped.
func (c *Claims) beginSettling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.settling.Add(1)
	return true
}

// Find looks the request's key up. It waits for the end of the same request if
// that runs on this host, at most until ctx ends.
func (c *Claims) Find(ctx context.Context, r Request) Finding {
	if local := c.local.get(r.rowKey()); local != nil {
		return attach(ctx, local, r)
	}
	return c.read(ctx, r)
}

// attach waits for the request that has the key on this host.
func attach(ctx context.Context, local *localClaim, r Request) Finding {
	if local.digest != r.Digest {
		return Finding{Refusal: refuseConflict()}
	}
	select {
	case <-local.ended:
	case <-ctx.Done():
		return Finding{Refusal: refuseHeld()}
	}
	if local.released {
		return Finding{Refusal: refuseUnavailable()}
	}
	return Finding{Kept: local.answer, Refusal: local.refusal}
}

// read looks the key up on the platform.
func (c *Claims) read(ctx context.Context, r Request) Finding {
	if c.outage.lasts(time.Now()) {
		return Finding{Refusal: refuseUnavailable()}
	}
	row, err := c.get(ctx, r.rowKey())
	if errors.Is(err, storage.ErrNotFound) {
		return Finding{}
	}
	if err != nil {
		return Finding{Refusal: refuseUnavailable()}
	}
	return c.judge(ctx, r, row.Value)
}

func (c *Claims) get(ctx context.Context, key string) (storage.Row, error) {
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
