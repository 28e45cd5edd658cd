package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// heldGrant implements Grant.
type heldGrant struct {
	client    *Client
	tracked   *trackedRequest
	target    settings.Target
	granted   time.Time
	expires   time.Time
	suspects  []quarantine.Digest
	preempted chan *outcome.Refusal
	tokens    int
}

var _ Grant = (*heldGrant)(nil)

// Target implements Grant.
func (g *heldGrant) Target() settings.Target { return g.target }

// Expires implements Grant.
func (g *heldGrant) Expires() time.Time { return g.expires }

// Suspects implements Grant.
func (g *heldGrant) Suspects() []quarantine.Digest { return g.suspects }

// Preempted implements Grant.
func (g *heldGrant) Preempted() <-chan *outcome.Refusal { return g.preempted }

// Decline implements Grant.
func (g *heldGrant) Decline(cause admission.DeclineCause) { g.client.decline(g, cause) }

// Progress implements Grant.
func (g *heldGrant) Progress(p admission.Progress) { g.client.progress(g, p) }

// End implements Grant.
func (g *heldGrant) End(e admission.End) { g.client.end(g, e) }
