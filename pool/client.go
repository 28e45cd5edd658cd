package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// clientTick is the interval of flushes and of retries towards owners.
	clientTick = 50 * time.Millisecond
	// forwardPatience is how long another data centre may stay unreachable
	// before the next one is tried.
	forwardPatience = 500 * time.Millisecond
	// fallbackAfter is how long an owner may be out of reach before this host
	// schedules its own requests.
	fallbackAfter = 1500 * time.Millisecond
	// fallbackHold is how long it does so before it tries the owner again.
	fallbackHold = 5 * time.Second
)

// Client is the entry's side of pools. It implements Admitter and peer.Handler.
//
// It remembers every request of this entry from Acquire to the end of its grant
// and tells the whole to each new owner, so an owner's death loses nothing.
type Client struct {
	options ClientOptions

	mu    sync.Mutex
	pools map[key]*clientPool
}

var _ Admitter = (*Client)(nil)

// NewClient returns a client; Run must be running for it to make progress.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, pools: make(map[key]*clientPool)}
}

// Run follows changes of ownership and flushes reports until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(clientTick)
	defer ticker.Stop()
	for {
		changed := c.options.Members.Changed()
		c.reconcile()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		}
	}
}

// Acquire implements Admitter.
func (c *Client) Acquire(ctx context.Context, r admission.Request) (Grant, error) {
	t := c.register(r)
	select {
	case result := <-t.result:
		return result.unwrap()
	case <-ctx.Done():
		return c.abandon(ctx, t)
	}
}

func (r ticketResult) unwrap() (Grant, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.grant, nil
}

func (c *Client) register(r admission.Request) *ticket {
	view := c.options.Members.View()
	r.Entry = view.Self.Host
	t := &ticket{
		request: r,
		key:     key{dataCentre: view.Self.DataCentre, pool: r.Pool},
		result:  make(chan ticketResult, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(t.key)
	p.tickets[r.ID] = t
	c.announce(view, p, t)
	return t
}

// abandon withdraws a ticket whose context ended. A grant that arrived at the
// same moment is given back.
func (c *Client) abandon(ctx context.Context, t *ticket) (Grant, error) {
	c.mu.Lock()
	granted := t.grant
	if granted == nil {
		c.forget(t)
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

// pool returns the state of one pool, made on first use. The mutex is held.
func (c *Client) pool(k key) *clientPool {
	p, ok := c.pools[k]
	if !ok {
		p = newClientPool(k)
		c.pools[k] = p
	}
	return p
}

// forget drops a ticket. The mutex is held.
func (c *Client) forget(t *ticket) {
	p, ok := c.pools[t.key]
	if !ok || p.tickets[t.request.ID] != t {
		return
	}
	delete(p.tickets, t.request.ID)
	delete(p.progress, t.request.ID)
}

// announce sends a waiting ticket to the owner. The mutex is held.
func (c *Client) announce(view *membership.View, p *clientPool, t *ticket) {
	owner := c.ownerFor(view, p)
	if owner == "" || p.needReport || (p.owner != "" && p.owner != owner) {
		return
	}
	p.owner = owner
	frame := &peerpb.Frame{Body: &peerpb.Frame_Enqueue{Enqueue: &peerpb.Enqueue{
		Pool:    string(p.key.pool),
		Request: encodeRequest(c.options.Now(), &t.request),
	}}}
	t.announced = c.options.Sender.Send(owner, frame) == nil
	if !t.announced {
		p.denied(c.options.Now())
	}
}

// send sends a frame to the owner of k. A frame that cannot be sent is made up
// for by the next report. The mutex is held.
func (c *Client) send(k key, f *peerpb.Frame) {
	p := c.pool(k)
	if p.owner == "" {
		return
	}
	if c.options.Sender.Send(p.owner, f) != nil {
		p.denied(c.options.Now())
	}
}

func (c *Client) decline(g *heldGrant, cause admission.DeclineCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(g.ticket)
	c.send(g.ticket.key, declineFrame(g.ticket.key.pool, g.ticket.request.ID, g.target.Name, cause))
	c.options.Recorder.Record(timeline.Event{
		Kind:    timeline.GrantDeclined,
		Request: g.ticket.request.ID,
		Pool:    g.ticket.key.pool,
		Target:  g.target.Name,
		Detail:  string(cause),
	})
}

func declineFrame(pool ident.Pool, id ident.Request, target ident.Target, cause admission.DeclineCause) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Decline{Decline: &peerpb.Decline{
		Pool:   string(pool),
		Id:     string(id),
		Target: string(target),
		Cause:  string(cause),
	}}}
}

func (c *Client) progress(g *heldGrant, p admission.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.tokens = p.Tokens
	state, ok := c.pools[g.ticket.key]
	if !ok || state.tickets[g.ticket.request.ID] != g.ticket {
		return
	}
	p.ID = g.ticket.request.ID
	state.progress[p.ID] = encodeProgress(p)
}

func (c *Client) end(g *heldGrant, e admission.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(g.ticket)
	e.ID = g.ticket.request.ID
	c.send(g.ticket.key, &peerpb.Frame{Body: &peerpb.Frame_End{
		End: encodeEnd(g.ticket.key.pool, g.target.Name, e),
	}})
}

// refuse gives a waiting ticket its final answer. The mutex is held.
func (c *Client) refuse(t *ticket, refusal *outcome.Refusal) {
	c.forget(t)
	t.result <- ticketResult{refusal: refusal}
}
