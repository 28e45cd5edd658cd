package pool

import (
	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

func (c *Client) decline(g *heldGrant, cause admission.DeclineCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(g.tracked)
	c.send(g.tracked.key, declineFrame(g.tracked.key.pool, g.tracked.request.ID, g.target.Name, cause))
	c.options.Recorder.Record(timeline.Event{
		Kind:    timeline.GrantDeclined,
		Request: g.tracked.request.ID,
		Pool:    g.tracked.key.pool,
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
	state, ok := c.pools[g.tracked.key]
	if !ok || state.requests[g.tracked.request.ID] != g.tracked {
		return
	}
	p.ID = g.tracked.request.ID
	state.progress[p.ID] = encodeProgress(p)
}

func (c *Client) end(g *heldGrant, e admission.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(g.tracked)
	e.ID = g.tracked.request.ID
	c.send(g.tracked.key, &peerpb.Frame{Body: &peerpb.Frame_End{
		End: encodeEnd(g.tracked.key.pool, g.target.Name, e),
	}})
}
