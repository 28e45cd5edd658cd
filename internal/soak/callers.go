package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// deadline is the deadline of each request. Callers wait callTimeoutSlack longer, so
	// that a late reply is observed rather than cut off by the client.
	deadline         = 2 * time.Second
	callTimeoutSlack = 4 * time.Second
	// callInterval is the pause between two calls of one caller.
	callInterval = 10 * time.Millisecond
	promptTokens = 500
)

// callers makes calls and records their replies.
type callers struct {
	system *system
	seed   uint64

	mu    sync.Mutex
	calls []*call
}

// run makes calls one after another until ctx ends. It completes the last one.
func (c *callers) run(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		c.takeUp(ctx, random, c.make(random, fmt.Sprintf("%d-%d-%d", c.seed, caller, n)))
		periodic.Sleep(ctx, callInterval)
	}
}

// runReads makes reads, which may be repeated, one after another until ctx ends.
func (c *callers) runReads(ctx context.Context, name string) {
	random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(name)))
	for n := 0; ctx.Err() == nil; n++ {
		c.issue(&call{host: c.pickHost(random), request: platformtest.Request{
			ID: fmt.Sprintf("%s-%d", name, n), Method: http.MethodGet, HostName: platformtest.HostName,
			Path: platformtest.PathRead, Deadline: deadline,
		}})
		periodic.Sleep(ctx, callInterval)
	}
}

// pickHost returns a random host that is in the load balancer's rotation, or any host
// if there is none.
func (c *callers) pickHost(random *rand.Rand) *host { return pickInRotation(random, c.system.hosts) }

func pickInRotation(random *rand.Rand, hosts []*host) *host {
	start := random.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; !h.isOutOfRotation() {
			return h
		}
	}
	return hosts[start]
}

// make makes one random call and records it.
func (c *callers) make(random *rand.Rand, id string) *call {
	issued := &call{host: c.pickHost(random)}
	issued.request = platformtest.Request{ID: id, Method: http.MethodGet, HostName: platformtest.HostName, Deadline: deadline}
	switch random.IntN(7) {
	case 0:
		issued.request.Method, issued.request.Path = http.MethodPost, platformtest.PathWrite
	case 1:
		issued.request.Method, issued.request.Path, issued.request.Tokens = http.MethodPost, platformtest.PathStream, promptTokens
	case 2, 3:
		issued.request.Path, issued.limited = platformtest.PathLimited, true
	case 4:
		issued.version = c.system.currentVersion()
		issued.request.Path = platformtest.VersionPath(issued.version)
	case 5:
		issued.request.Method, issued.request.Path, issued.request.Tokens = http.MethodPost, platformtest.PathResumable, promptTokens
	default:
		issued.request.Path = platformtest.PathRead
	}
	c.issue(issued)
	return issued
}

// issue makes a call and records it.
func (c *callers) issue(issued *call) {
	c.send(issued)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, issued)
}

func (c *callers) send(issued *call) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+callTimeoutSlack)
	defer cancel()
	sender := issued.host.caller
	switch {
	case issued.limited:
		sender = issued.host.limitedCaller
	case issued.guest:
		sender = issued.host.guestCaller
	}
	issued.incarnation = issued.host.currentIncarnation()
	issued.started = time.Now()
	issued.reply = sender.Do(ctx, issued.request)
	issued.finished = time.Now()
}
