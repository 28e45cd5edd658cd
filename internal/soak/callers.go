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
	deadline  = 2 * time.Second
	callSlack = 4 * time.Second
	// callPause is the time between two calls of one caller.
	callPause = 10 * time.Millisecond
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
		periodic.Sleep(ctx, callPause)
	}
}

// choose returns a host that the balancer takes for ready.
func (c *callers) choose(random *rand.Rand) *host {
	hosts := c.system.hosts
	start := random.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; !h.isOut() {
			return h
		}
	}
	return hosts[start]
}

// make sends one request and keeps what came of it.
func (c *callers) make(random *rand.Rand, id string) *call {
	made := &call{host: c.choose(random)}
	made.try = platformtest.Request{ID: id, Method: http.MethodGet, HostName: platformtest.HostName, Deadline: deadline}
	switch random.IntN(6) {
	case 0:
		made.try.Method, made.try.Path = http.MethodPost, platformtest.PathWrite
	case 1:
		made.try.Method, made.try.Path, made.try.Tokens = http.MethodPost, platformtest.PathStream, promptTokens
	case 2, 3:
		made.try.Path, made.small = platformtest.PathLimited, true
	case 4:
		made.version = c.system.currentVersion()
		made.try.Path = platformtest.VersionPath(made.version)
	default:
		made.try.Path = platformtest.PathRead
	}
	c.send(made)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, made)
	return made
}

func (c *callers) send(made *call) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+callSlack)
	defer cancel()
	sender := made.host.caller
	if made.small {
		sender = made.host.small
	}
	made.life = made.host.currentLife()
	made.begun = time.Now()
	made.reply = sender.Do(ctx, made.try)
	made.ended = time.Now()
}
