package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

var _ peer.Handler = (*Client)(nil)

// HandleFrame implements peer.Handler for the frames that owners send to entries.
func (c *Client) HandleFrame(from ident.Host, f *peerpb.Frame) {
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Grant:
		c.handleGrant(from, body.Grant)
	case *peerpb.Frame_Refuse:
		c.handleRefuse(from, body.Refuse)
	case *peerpb.Frame_Preempt:
		c.handlePreempt(from, body.Preempt)
	case *peerpb.Frame_Forward:
		c.handleForward(from, body.Forward)
	case *peerpb.Frame_ReportRequest:
		c.handleReportRequest(from, body.ReportRequest)
	case *peerpb.Frame_NotOwner:
		c.handleNotOwner(from, body.NotOwner)
	}
}

// SessionUp implements peer.Handler.
func (c *Client) SessionUp(host ident.Host) { c.markNeedsReport(host) }

// SessionDown implements peer.Handler.
func (c *Client) SessionDown(host ident.Host) { c.markNeedsReport(host) }

// markNeedsReport makes the next reconciliation send the host a full report for
// each pool that it owns.
func (c *Client) markNeedsReport(host ident.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		if p.owner == host {
			p.needReport = true
		}
	}
}

// find returns the tracked request with this ID in the pool of the sender's data
// centre, and that pool. The caller holds the mutex.
func (c *Client) find(from ident.Host, pool ident.Pool, id ident.Request) (*clientPool, *trackedRequest) {
	member, ok := c.options.Members.View().Member(from)
	if !ok {
		return nil, nil
	}
	p, ok := c.pools[key{dataCentre: member.DataCentre, pool: pool}]
	if !ok {
		return nil, nil
	}
	if p.owner == from {
		p.markAvailable()
	}
	return p, p.requests[id]
}

func (c *Client) handleGrant(from ident.Host, g *peerpb.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, id, target := ident.Pool(g.GetPool()), ident.Request(g.GetId()), ident.Target(g.GetTarget())
	p, t := c.find(from, pool, id)
	if t == nil {
		_ = c.options.Sender.Send(from, declineFrame(pool, id, target, admission.DeclineCancelled))
		return
	}
	if t.grant != nil {
		_ = c.options.Sender.Send(from, declineFrame(pool, id, target, admission.DeclineExpired))
		p.needReport = true
		return
	}
	declared, cause := c.grantableTarget(target)
	if declared == nil {
		_ = c.options.Sender.Send(from, declineFrame(pool, id, target, cause))
		t.enqueueSent = false
		return
	}
	c.acceptGrant(t, g, *declared)
}

// acceptGrant delivers a grant to the waiting Acquire. The caller holds the mutex.
func (c *Client) acceptGrant(t *trackedRequest, g *peerpb.Grant, target settings.Target) {
	now := c.options.Now()
	t.grant = &heldGrant{
		client:    c,
		tracked:   t,
		target:    target,
		granted:   now,
		expires:   now.Add(time.Duration(g.GetLeaseMs()) * time.Millisecond),
		suspects:  t.suspects(g),
		preempted: make(chan *outcome.Refusal, 1),
	}
	t.result <- acquireResult{grant: t.grant}
}

func (c *Client) handleRefuse(from ident.Host, r *peerpb.Refuse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, t := c.find(from, ident.Pool(r.GetPool()), ident.Request(r.GetId()))
	if t == nil || t.grant != nil {
		return
	}
	if t.forward != nil {
		c.forwardNext(t)
		return
	}
	c.refuse(t, decodeRefusal(r))
}

func decodeRefusal(r *peerpb.Refuse) *outcome.Refusal {
	retryAfter := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return outcome.Refuse(outcome.Reason(r.GetReason()), r.GetMessage(), retryAfter)
}

func (c *Client) handlePreempt(from ident.Host, r *peerpb.Preempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, t := c.find(from, ident.Pool(r.GetPool()), ident.Request(r.GetId()))
	if t == nil || t.grant == nil {
		return
	}
	refusal := &outcome.Refusal{
		Outcome:    outcome.Interrupted,
		Reason:     outcome.Preempted,
		Message:    "stopped in favour of a higher tier",
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	select {
	case t.grant.preempted <- refusal:
	default:
	}
}

func (c *Client) handleForward(from ident.Host, f *peerpb.Forward) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, t := c.find(from, ident.Pool(f.GetPool()), ident.Request(f.GetId()))
	if t == nil || t.grant != nil || t.forward != nil {
		return
	}
	t.forward = &forwardPlan{refusal: decodeRefusal(f.GetRefusal())}
	for _, dc := range f.GetDataCentres() {
		t.forward.remaining = append(t.forward.remaining, ident.DataCentre(dc))
	}
	c.forwardNext(t)
}

// forwardNext forwards a request to the next data centre of its plan, or refuses
// it if none is left. The caller holds the mutex.
func (c *Client) forwardNext(t *trackedRequest) {
	plan := t.forward
	if len(plan.remaining) == 0 {
		c.refuse(t, plan.refusal)
		return
	}
	c.remove(t)
	t.key.dataCentre = plan.remaining[0]
	t.enqueueSent = false
	t.request.Forwarded = true
	plan.remaining = plan.remaining[1:]
	plan.since = c.options.Now()
	p := c.pool(t.key)
	p.requests[t.request.ID] = t
	c.sendEnqueue(c.options.Members.View(), p, t)
	c.options.Recorder.Record(timeline.Event{
		Kind:    timeline.Forwarded,
		Request: t.request.ID,
		Team:    t.request.Team,
		Tier:    t.request.Tier,
		Pool:    t.key.pool,
		Detail:  "to " + string(t.key.dataCentre),
	})
}

func (c *Client) handleReportRequest(from ident.Host, r *peerpb.ReportRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, ok := c.options.Members.View().Member(from)
	if !ok {
		return
	}
	k := key{dataCentre: member.DataCentre, pool: ident.Pool(r.GetPool())}
	p := c.pool(k)
	c.setOwner(c.options.Members.View(), p, from)
	c.report(p, r.GetEpoch())
}

func (c *Client) handleNotOwner(from ident.Host, n *peerpb.NotOwner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, ok := c.options.Members.View().Member(from)
	if !ok {
		return
	}
	p, ok := c.pools[key{dataCentre: member.DataCentre, pool: ident.Pool(n.GetPool())}]
	if ok && p.owner == from {
		p.owner = ""
		p.markUnavailable(c.options.Now())
	}
}

// grantableTarget returns the declaration of a target, or the cause for declining
// a grant on it. This host may learn before the owner that a target is draining.
func (c *Client) grantableTarget(name ident.Target) (*settings.Target, admission.DeclineCause) {
	snapshot := c.options.Settings.Current()
	if snapshot == nil {
		return nil, admission.DeclineExpired
	}
	declared, ok := snapshot.Targets[name]
	if !ok {
		return nil, admission.DeclineExpired
	}
	if _, listed := drainingTargets(c.options.Hosts.Entries())[name]; listed || declared.Leaving {
		return nil, admission.DeclineDraining
	}
	return declared, ""
}
