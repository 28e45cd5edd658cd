package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// deadline is what callers give a request, and callSlack how much longer they
	// wait to see what a host does.
	deadline         = 2 * time.Second
	callTimeoutSlack = 4 * time.Second
	// callPause is the time between two calls of one caller.
	callInterval = 10 * time.Millisecond
	// promptTokens is the length of a prompt.
	promptTokens = 500
)

// callers make calls and keep what came of them.
type callers struct {
	system *system
	seed   uint64

	mu    sync.Mutex
	calls []*call
}

// run makes one call after another until ctx ends. The last one runs to its end.
func (c *callers) run(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		c.make(random, fmt.Sprintf("%d-%d-%d", c.seed, caller, n))
		periodic.Sleep(ctx, callInterval)
	}
}

// choose returns a host that the balancer takes for ready.
func (c *callers) pickHost(random *rand.Rand) *host {
	hosts := c.system.hosts
	start := random.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; !h.isOutOfRotation() {
			return h
		}
	}
	return hosts[start]
}

// make sends one request and keeps what came of it.
func (c *callers) make(random *rand.Rand, id string) *call {
	made := &call{host: c.pickHost(random)}
	made.request = platformtest.Request{ID: id, Method: http.MethodGet, HostName: platformtest.HostName, Deadline: deadline}
	switch random.IntN(6) {
	case 0:
		made.request.Method, made.request.Path = http.MethodPost, platformtest.PathWrite
	case 1:
		made.request.Method, made.request.Path, made.request.Tokens = http.MethodPost, platformtest.PathStream, promptTokens
	case 2, 3:
		made.request.Path, made.limited = platformtest.PathLimited, true
	case 4:
		made.version = c.system.currentVersion()
		made.request.Path = platformtest.VersionPath(made.version)
	default:
		made.request.Path = platformtest.PathRead
	}
	c.send(made)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, made)
	return made
}

func (c *callers) send(made *call) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+callTimeoutSlack)
	defer cancel()
	sender := made.host.caller
	if made.limited {
		sender = made.host.limitedCaller
	}
	made.incarnation = made.host.currentIncarnation()
	made.started = time.Now()
	made.reply = sender.Do(ctx, made.request)
	made.finished = time.Now()
}
