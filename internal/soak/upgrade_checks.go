package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// guestInterval is the time between two calls with the key that is revoked.
	guestInterval = 20 * time.Millisecond
	// rolloutVersion is the version of half of the targets, to which the order moves a service,
	// and rolloutTime the duration of the order.
	rolloutVersion = "v2"
	rolloutTime    = 6 * time.Second
)

// runGuests makes calls with the key that is revoked, until ctx ends.
func (c *callers) runGuests(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.seed, 1<<37))
	for n := 0; ctx.Err() == nil; n++ {
		c.issue(&call{host: c.pickHost(random), guest: true, request: platformtest.Request{
			ID: fmt.Sprintf("guest-%d", n), Method: http.MethodGet, HostName: platformtest.HostName,
			Path: platformtest.PathRead, Deadline: deadline,
		}})
		periodic.Sleep(ctx, guestInterval)
	}
}

// checkRevokedKey checks that calls with a revoked key are refused, and reach no target, once
// hosts had propagationTime to learn of it.
func (u *upgrade) checkRevokedKey(calls []*call, received map[string][]time.Time) verdict.Verdict {
	v := verdict.Verdict{Promise: RevokedKeyRefused}
	for _, c := range calls {
		if !c.guest {
			continue
		}
		switch {
		case u.revoked.IsZero() || c.finished.Before(u.revoked):
			v.Check(c.reply.Status != http.StatusUnauthorized, c.String)
		case c.started.After(u.revoked.Add(propagationTime)):
			v.Check(!c.reply.Succeeded() && len(received[c.request.ID]) == 0, c.String)
		}
	}
	return v
}

// rolloutOrder is the order of a rollout while hosts of both builds serve.
type rolloutOrder struct {
	ordered time.Time
	store   *platformtest.Store
}

// orderRollout orders the rollout of the version of half of the targets.
func (u *upgrade) orderRollout() {
	s := u.runner.system.store
	u.rollout = rolloutOrder{ordered: time.Now(), store: s}
	s.OrderRollout(rolloutVersion, rolloutTime)
}

// checkRollout checks that the order has ended. How it ends is not promised while some hosts
// don't know orders.
func (u *upgrade) checkRollout() verdict.Verdict {
	v := verdict.Verdict{Promise: RolloutEnds}
	if u.rollout.ordered.IsZero() {
		return v
	}
	status, ended := u.rollout.store.RolloutState(rolloutVersion)
	v.Check(ended, func() string {
		return fmt.Sprintf("the order of %s with a duration of %v has the status %q", u.rollout.ordered.Format("15:04:05.000"), rolloutTime, status)
	})
	return v
}
