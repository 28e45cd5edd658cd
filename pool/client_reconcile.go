package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
)

// ownerOf returns the owner of k according to the view. A host that is alone in
// its data centre owns its pools even while it is stopping.
func ownerOf(view *membership.View, k key) ident.Host {
	owner := view.Owner(k.dataCentre, k.pool)
	if owner == "" && view.Self.DataCentre == k.dataCentre {
		return view.Self.Host
	}
	return owner
}

// ownerFor returns the host that schedules this entry's requests in p: the owner,
// or this host while it is in fallback. The caller holds the mutex.
func (c *Client) ownerFor(view *membership.View, p *clientPool) ident.Host {
	local := p.key.dataCentre == view.Self.DataCentre
	if local && p.inFallback(c.options.Now()) {
		return view.Self.Host
	}
	return ownerOf(view, p.key)
}

// reconcile sends each pool's current owner the reports and requests that it
// lacks, and returns the delay until the next reconciliation.
func (c *Client) reconcile() time.Duration {
	view := c.options.Members.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.pools {
		c.reconcilePool(view, p)
		if len(p.requests) == 0 && !p.needReport {
			delete(c.pools, k)
		}
	}
	if len(c.pools) == 0 {
		return idleFlushInterval
	}
	return flushInterval
}

func (c *Client) reconcilePool(view *membership.View, p *clientPool) {
	owner := c.ownerFor(view, p)
	if owner != "" && owner != p.owner {
		c.setOwner(view, p, owner)
		p.needReport = true
	}
	if p.needReport {
		c.report(p, 0)
	}
	now := c.options.Now()
	for _, t := range p.requests {
		c.retry(view, p, t, now)
	}
	if len(p.progress) > 0 && p.owner != "" {
		c.send(p.key, &peerpb.Frame{Body: &peerpb.Frame_Progress{Progress: p.drainProgress()}})
	}
}

// setOwner sets the host to which the requests of p are sent. A former owner is informed
// that it has none of them any more, because it will not receive their ends. It may still
// take itself for the owner, and would count their slots as taken for ever.
func (c *Client) setOwner(view *membership.View, p *clientPool, owner ident.Host) {
	former := p.owner
	p.owner = owner
	if former == "" || former == owner || former == c.ownerFor(view, p) {
		return
	}
	empty := &peerpb.Frame{Body: &peerpb.Frame_Report{Report: &peerpb.Report{Pool: string(p.key.pool)}}}
	if err := c.options.Sender.Send(former, empty); err != nil {
		// Without a session the former owner asks for a report when it has one again.
		c.options.Logger.Debug().Err(err).Str("pool", string(p.key.pool)).Str("host", string(former)).
			Msg("A former owner could not be informed that requests have moved; it asks when its session is back.")
	}
}

func (c *Client) retry(view *membership.View, p *clientPool, t *trackedRequest, now time.Time) {
	if t.grant != nil || t.enqueueSent {
		return
	}
	c.sendEnqueue(view, p, t)
	timedOut := t.forward != nil && !t.enqueueSent && now.Sub(t.forward.since) > forwardTimeout
	if timedOut {
		c.forwardNext(t)
	}
}

// report sends the owner of p a full report of this entry's requests.
func (c *Client) report(p *clientPool, epoch uint64) {
	if p.owner == "" {
		return
	}
	now := c.options.Now()
	r := &peerpb.Report{Pool: string(p.key.pool), Epoch: epoch}
	for _, t := range p.requests {
		if t.grant == nil {
			r.Queued = append(r.Queued, encodeRequest(now, &t.request))
			continue
		}
		r.InService = append(r.InService, &peerpb.InService{
			Request:         encodeRequest(now, &t.request),
			Target:          string(t.grant.target.Name),
			SinceDispatchMs: now.Sub(t.grant.granted).Milliseconds(),
			Tokens:          int32(t.grant.tokens),
		})
	}
	sent := c.options.Sender.Send(p.owner, &peerpb.Frame{Body: &peerpb.Frame_Report{Report: r}}) == nil
	p.needReport = !sent
	if !sent {
		p.markUnavailable(now)
		return
	}
	for _, t := range p.requests {
		t.enqueueSent = true
	}
}
