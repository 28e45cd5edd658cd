package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// maxTakeUps is how often a caller takes up a stream that broke off.
	maxTakeUps = 4
	// maxHostsOfOneMesh is the number of hosts up to which all hosts know where a stream began. In
	// larger systems, only those of the same data centre do (docs/decisions/011).
	maxHostsOfOneMesh = 16
	// takeUpDelay is the time before each of them.
	takeUpDelay = 100 * time.Millisecond
)

// takeUp takes up a resumable stream that broke off after events, each time at a random
// host that can know where it began.
func (c *callers) takeUp(ctx context.Context, random *rand.Rand, first *call) {
	last, events := first, first.eventCount()
	for n := 1; n <= maxTakeUps && last.canBeTakenUp(events) && ctx.Err() == nil; n++ {
		periodic.Sleep(ctx, takeUpDelay)
		request := first.request
		request.ID = fmt.Sprintf("%s-%d", first.request.ID, n)
		request.FirstAttempt, request.LastEvent = first.request.ID, events
		next := &call{request: request, host: c.pickTakeUpHost(random, first.host), takesUp: first}
		c.send(next)
		c.mu.Lock()
		c.calls = append(c.calls, next)
		c.mu.Unlock()
		events += next.eventCount()
		last = next
	}
}

func (c *callers) pickTakeUpHost(random *rand.Rand, first *host) *host {
	if len(c.system.hosts) <= maxHostsOfOneMesh {
		return c.pickHost(random)
	}
	var near []*host
	for _, h := range c.system.hosts {
		if h.settings.DataCentre == first.settings.DataCentre {
			near = append(near, h)
		}
	}
	return pickInRotation(random, near)
}

// canBeTakenUp reports whether the stream, of which the caller has some events, broke off, or
// was not taken up.
func (c *call) canBeTakenUp(events int) bool {
	return c.request.Path == platformtest.PathResumable && events > 0 && events < eventsPerStream && !c.reply.Succeeded()
}

// eventCount returns the number of whole events that the call brought.
func (c *call) eventCount() int {
	if c.reply.Status != http.StatusOK {
		return 0
	}
	return strings.Count(c.reply.Body, "\n\n")
}
