package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// crashDelay is the time from the start of a run to the crash.
	crashDelay = 20 * time.Millisecond
	// shortAbsence and longAbsence are how long a crashed target is away.
	shortAbsence = 600 * time.Millisecond
	longAbsence  = 3500 * time.Millisecond
	// resendInterval and resendTime are how often and how long a crashing request is sent.
	resendInterval = 150 * time.Millisecond
	resendTime     = 9 * time.Second
	// crashingPartPrefix begins the names of parts of prompts that crash the targets that run
	// requests with them.
	crashingPartPrefix = "crash-part-"
	// crashesBeforeBound is the number of crashes after which, propagationTime later, at
	// most maxLateArrivals more may reach targets, and partCrashesBeforeBound the same for a
	// part of a prompt.
	crashesBeforeBound     = 3
	partCrashesBeforeBound = 5
	maxLateArrivals        = 3
)

// crashingRequest is the history of one request that crashes targets, or of one part of a
// prompt of which no two requests are alike.
type crashingRequest struct {
	// name is the path of the request or the name of the part.
	name   string
	isPart bool
	// absence is how long the targets that it crashes are away.
	absence time.Duration

	mu sync.Mutex
	// hosts holds the host to which each attempt was sent, by request ID.
	hosts   map[string]*host
	sent    []time.Time
	crashes []time.Time
}

// sendCrashingRequest sends a crashing request again and again, each time to a random host or
// twice to all hosts at the same moment.
func sendCrashingRequest(ctx context.Context, s *system, random *rand.Rand) error {
	c := &crashingRequest{
		name:    fmt.Sprintf("%s%d", crashPathPrefix, random.Uint64()),
		isPart:  random.IntN(2) == 0,
		absence: pick(random, []time.Duration{shortAbsence, longAbsence}),
		hosts:   make(map[string]*host),
	}
	if c.isPart {
		c.name = fmt.Sprintf("%s%d", crashingPartPrefix, random.Uint64())
	}
	s.crashing.Store(c.name, c)
	for end := time.Now().Add(resendTime); time.Now().Before(end) && ctx.Err() == nil; {
		hosts := []*host{pick(random, s.hosts)}
		if random.IntN(2) == 0 {
			hosts = slices.Concat(s.hosts, s.hosts)
		}
		var group sync.WaitGroup
		for _, h := range hosts {
			id := fmt.Sprintf("crash-%d", random.Uint64())
			group.Go(func() { c.send(ctx, h, id) })
		}
		group.Wait()
		periodic.Sleep(ctx, resendInterval)
	}
	return nil
}

// send sends one attempt. Whatever its reply is, the targets show what reached them.
func (c *crashingRequest) send(ctx context.Context, h *host, id string) {
	c.recordSent(id, h)
	ctx, cancel := context.WithTimeout(ctx, deadline+callTimeoutSlack)
	defer cancel()
	r := platformtest.Request{
		ID: id, Method: http.MethodGet, HostName: platformtest.HostName, Path: c.name, Body: c.name, Deadline: deadline,
	}
	if c.isPart {
		r.Path, r.Body = platformtest.PathRead+id, id
		r.PromptParts = []string{"common", c.name, id}
	}
	_ = h.caller.Do(ctx, r)
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
	history := s.crashingRequestOf(r)
	if history == nil {
		return false
	}
	time.Sleep(crashDelay)
	history.mu.Lock()
	history.crashes = append(history.crashes, time.Now())
	history.mu.Unlock()
	end := t.faultSpans.start()
	s.injectError(t.link.SetFaults(faultproxy.Faults{Refuse: true}))
	time.AfterFunc(history.absence, func() {
		s.injectError(t.link.SetFaults(faultproxy.Faults{}))
		end()
	})
	return true
}

// crashingRequestOf returns the history to which a request belongs that crashes targets, or nil.
func (s *system) crashingRequestOf(r *http.Request) *crashingRequest {
	for _, name := range append(platformtest.PromptParts(r), r.URL.Path) {
		if c, ok := s.crashing.Load(name); ok {
			return c.(*crashingRequest)
		}
	}
	return nil
}

// checkCrashingRequests checks that few attempts of a crashing request reach targets once it
// has crashed some. It leaves out attempts through hosts with a fault.
func (r *runner) checkCrashingRequests() verdict.Verdict {
	v := verdict.Verdict{Promise: CrashingRequestContained}
	arrivals := r.system.receivedTimes()
	r.system.crashing.Range(func(name, value any) bool {
		c := value.(*crashingRequest)
		late := c.lateArrivals(arrivals)
		v.Check(late <= maxLateArrivals, func() string {
			return fmt.Sprintf("%d attempts of %s reached targets later than %s after crash %d, want at most %d",
				late, name, propagationTime, c.crashesBeforeBound(), maxLateArrivals)
		})
		return true
	})
	return v
}

// crashesBeforeBound returns the number of crashes from which on late arrivals count.
func (c *crashingRequest) crashesBeforeBound() int {
	if c.isPart {
		return partCrashesBeforeBound
	}
	return crashesBeforeBound
}

func (c *crashingRequest) lateArrivals(arrivals map[string][]time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < c.crashesBeforeBound() {
		return 0
	}
	bound := c.crashes[c.crashesBeforeBound()-1].Add(propagationTime)
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
