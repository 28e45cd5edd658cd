package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// flushInterval is the time between two flushes of progress to the owners and
	// between two retries of unsent requests.
	flushInterval = 50 * time.Millisecond
	// idleFlushInterval replaces flushInterval while this entry has no requests.
	idleFlushInterval = 2 * time.Second
	// forwardTimeout is how long the entry retries an unreachable data centre
	// before it forwards the request to the next one.
	forwardTimeout = 500 * time.Millisecond
	// fallbackDelay is how long an owner must be unavailable before this host
	// schedules its own requests.
	fallbackDelay = 1500 * time.Millisecond
)

// Client is the entry side of pools. It implements Admitter and peer.Handler.
//
// It tracks every request of this entry from Acquire to the end of its grant and
// reports all of them to each new owner, so no request is lost when an owner
// fails.
type Client struct {
	options ClientOptions

	// wake makes Run reconcile at once when a pool was added.
	wake chan struct{}

	mu    sync.Mutex
	pools map[key]*clientPool
}

var _ Admitter = (*Client)(nil)

// NewClient returns a client. It makes progress only while Run is running.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, wake: make(chan struct{}, 1), pools: make(map[key]*clientPool)}
}

// Run follows ownership changes and flushes reports to the owners until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for {
		changed := c.options.Members.Changed()
		timer := time.NewTimer(c.reconcile())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-changed:
		case <-c.wake:
		}
		timer.Stop()
	}
}

// Acquire implements Admitter.
func (c *Client) Acquire(ctx context.Context, r admission.Request) (Grant, error) {
	t := c.register(r)
	select {
	case result := <-t.result:
		return result.unwrap()
	case <-ctx.Done():
		return c.cancel(ctx, t)
	}
}

func (c *Client) register(r admission.Request) *trackedRequest {
	view := c.options.Members.View()
	r.Entry = view.Self.Host
	t := &trackedRequest{
		request: r,
		key:     key{dataCentre: view.Self.DataCentre, pool: r.Pool},
		result:  make(chan acquireResult, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(t.key)
	p.requests[r.ID] = t
	c.sendEnqueue(view, p, t)
	return t
}

// cancel stops tracking a request whose context ended and cancels it at the
// owner. If it was granted in the meantime, the grant is declined instead.
func (c *Client) cancel(ctx context.Context, t *trackedRequest) (Grant, error) {
	c.mu.Lock()
	granted := t.grant
	if granted == nil {
		c.remove(t)
		c.send(t.key, &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{
			Pool: string(t.key.pool),
			Id:   string(t.request.ID),
		}}})
	}
	c.mu.Unlock()
	if granted != nil {
		granted.Decline(admission.DeclineCancelled)
	}
	return nil, ctx.Err()
}

// pool returns the state of a pool and creates it on first use. The caller holds
// the mutex.
func (c *Client) pool(k key) *clientPool {
	p, ok := c.pools[k]
	if !ok {
		p = newClientPool(k)
		c.pools[k] = p
		c.wakeRun()
	}
	return p
}

// wakeRun makes Run reconcile the pools at once.
func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// remove stops tracking a request. The caller holds the mutex.
func (c *Client) remove(t *trackedRequest) {
	p, ok := c.pools[t.key]
	if !ok || p.requests[t.request.ID] != t {
		return
	}
	delete(p.requests, t.request.ID)
	delete(p.progress, t.request.ID)
}

// sendEnqueue sends a queued request to the owner, unless there is no owner or the
// next report will include the request. The caller holds the mutex.
func (c *Client) sendEnqueue(view *membership.View, p *clientPool, t *trackedRequest) {
	owner := c.ownerFor(view, p)
	if owner == "" || p.needReport || (p.owner != "" && p.owner != owner) {
		return
	}
	p.owner = owner
	frame := &peerpb.Frame{Body: &peerpb.Frame_Enqueue{Enqueue: &peerpb.Enqueue{
		Pool:    string(p.key.pool),
		Request: encodeRequest(c.options.Now(), &t.request),
	}}}
	t.enqueueSent = c.options.Sender.Send(owner, frame) == nil
	if !t.enqueueSent {
		p.markUnavailable(c.options.Now())
	}
}

// send sends a frame to the owner of k. If this fails, the next report to the
// owner supersedes the lost frame. The caller holds the mutex.
func (c *Client) send(k key, f *peerpb.Frame) {
	p := c.pool(k)
	if p.owner == "" {
		return
	}
	if c.options.Sender.Send(p.owner, f) != nil {
		p.markUnavailable(c.options.Now())
	}
}

// refuse ends a queued request with a refusal. The caller holds the mutex.
func (c *Client) refuse(t *trackedRequest, refusal *outcome.Refusal) {
	c.remove(t)
	t.result <- acquireResult{refusal: refusal}
}
