package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// crashPathPrefix begins the paths of requests that crash the targets that run them.
	crashPathPrefix = platformtest.PathRead + "crash-"
	// crashedTime is how long a crashed target is away.
	crashedTime = 600 * time.Millisecond
	// resendInterval and resendTime are how often and how long a crashing request is sent.
	resendInterval = 150 * time.Millisecond
	resendTime     = 6 * time.Second
	// crashesBeforeBound is the number of crashes after which, propagationTime later, at
	// most maxLateArrivals more may reach targets.
	crashesBeforeBound = 3
	maxLateArrivals    = 3
)

// crashingRequest is the history of one request that crashes targets.
type crashingRequest struct {
	mu sync.Mutex
	// hosts holds the host to which each attempt was sent, by request ID.
	hosts   map[string]*host
	sent    []time.Time
	crashes []time.Time
}

// sendCrashingRequest sends a crashing request again and again, each time to a random host.
func sendCrashingRequest(ctx context.Context, s *system, random *rand.Rand) error {
	path := fmt.Sprintf("%s%d", crashPathPrefix, random.Uint64())
	c := &crashingRequest{hosts: make(map[string]*host)}
	s.crashing.Store(path, c)
	for end := time.Now().Add(resendTime); time.Now().Before(end) && ctx.Err() == nil; {
		h := pick(random, s.hosts)
		request := platformtest.Request{
			ID: fmt.Sprintf("crash-%d", random.Uint64()), Method: http.MethodGet, HostName: platformtest.HostName,
			Path: path, Body: path, Deadline: deadline,
		}
		c.recordSent(request.ID, h)
		callCtx, cancel := context.WithTimeout(ctx, deadline+callTimeoutSlack)
		// Whatever the reply is, the targets show what reached them.
		_ = h.caller.Do(callCtx, request)
		cancel()
		periodic.Sleep(ctx, resendInterval)
	}
	return nil
}

func (c *crashingRequest) recordSent(id string, h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[id] = h
	c.sent = append(c.sent, time.Now())
}

// sentTimes returns when its attempts were sent.
func (c *crashingRequest) sentTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.sent...)
}

// crash takes the target away for a time if the request is one that crashes targets.
func (t *target) crash(s *system, r *http.Request) (crashed bool) {
	c, ok := s.crashing.Load(r.URL.Path)
	if !ok || !strings.HasPrefix(r.URL.Path, crashPathPrefix) {
		return false
	}
	history := c.(*crashingRequest)
	history.mu.Lock()
	history.crashes = append(history.crashes, time.Now())
	history.mu.Unlock()
	end := t.faultSpans.start()
	s.injectError(t.link.SetFaults(faultproxy.Faults{Refuse: true}))
	time.AfterFunc(crashedTime, func() {
		s.injectError(t.link.SetFaults(faultproxy.Faults{}))
		end()
	})
	return true
}

// checkCrashingRequests checks that few attempts of a crashing request reach targets once it
// has crashed some. It leaves out attempts through hosts with a fault.
func (r *runner) checkCrashingRequests() verdict.Verdict {
	v := verdict.Verdict{Promise: CrashingRequestContained}
	arrivals := r.system.receivedTimes()
	r.system.crashing.Range(func(path, value any) bool {
		c := value.(*crashingRequest)
		late := c.lateArrivals(arrivals)
		v.Check(late <= maxLateArrivals, func() string {
			return fmt.Sprintf("%d attempts of %s reached targets later than %s after crash %d, want at most %d",
				late, path, propagationTime, crashesBeforeBound, maxLateArrivals)
		})
		return true
	})
	return v
}

func (c *crashingRequest) lateArrivals(arrivals map[string][]time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crashesBeforeBound {
		return 0
	}
	bound := c.crashes[crashesBeforeBound-1].Add(propagationTime)
	late := 0
	for id, h := range c.hosts {
		for _, at := range arrivals[id] {
			if at.After(bound) && !h.faultSpans.overlaps(at.Add(-propagationTime), at) {
				late++
			}
		}
	}
	return late
}
