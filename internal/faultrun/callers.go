package faultrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// callLimit bounds one call; it is above every deadline.
	callLimit = 40 * time.Second
	// maxTokens is the longest answer.
	maxTokens = 80
	// filingTries is how often a caller sends a filing whose end it wasn't told.
	filingTries = 4
	// callerPause lets hosts that refuse at once not be flooded.
	callerPause = 20 * time.Millisecond
)

// callers makes calls until it is stopped and keeps what came of them.
type callers struct {
	cluster *testbed.Cluster
	seed    uint64

	mu      sync.Mutex
	out     map[ident.Host]bool
	engines []*engineCall
	filings []*filingCall
}

func newCallers(cluster *testbed.Cluster, seed uint64) *callers {
	return &callers{cluster: cluster, seed: seed, out: make(map[ident.Host]bool)}
}

// takeOut makes the balancer leave out a host, or take it in again.
func (c *callers) takeOut(host ident.Host, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out[host] = out
}

// run makes one call after another until ctx ends. The last one runs to its end.
func (c *callers) run(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("call %d of caller %d", n, caller)
		if caller%4 == 0 {
			c.file(random, name)
		} else {
			c.complete(random, name)
		}
		time.Sleep(callerPause)
	}
}

// choose returns a host that the balancer takes for ready.
func (c *callers) choose(random *rand.Rand) *testbed.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.cluster.Hosts
	start := random.IntN(len(hosts))
	for i := range hosts {
		h := hosts[(start+i)%len(hosts)]
		if !c.out[h.ID()] {
			return h
		}
	}
	return hosts[start]
}

func (c *callers) complete(random *rand.Rand, name string) {
	host := c.choose(random)
	call := &engineCall{
		call: chatclient.Call{
			Model:     model,
			Prompt:    name,
			MaxTokens: 1 + random.IntN(maxTokens),
			Stream:    random.IntN(3) > 0,
			Tier:      []ident.Tier{high, low}[random.IntN(2)],
		},
		host:  host.ID(),
		begun: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	call.answer, call.err = host.CallerClient(token).Complete(ctx, call.call)
	call.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, call)
}

// file sends a filing, and sends it again through other hosts while the caller
// doesn't know what became of it.
func (c *callers) file(random *rand.Rand, key string) {
	for range filingTries {
		call := c.fileOnce(c.choose(random), key)
		c.mu.Lock()
		c.filings = append(c.filings, call)
		c.mu.Unlock()
		if call.err == nil && call.status == http.StatusOK {
			return
		}
		time.Sleep(callerPause)
	}
}

func (c *callers) fileOnce(host *testbed.Host, key string) *filingCall {
	call := &filingCall{key: key, host: host.ID(), begun: time.Now()}
	defer func() { call.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	body, _ := json.Marshal(filingBody{Key: key})
	url := host.CallerURL() + "/services/" + string(desk) + filing
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		call.err = err
		return call
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		call.err = err
		return call
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	call.err = err
	call.body = string(answer)
	call.status = response.StatusCode
	call.outcome = outcome.Outcome(response.Header.Get("X-Cornelyard-Outcome"))
	call.reason = outcome.Reason(response.Header.Get("X-Cornelyard-Reason"))
	return call
}

// filingBody is the body of a filing; the service counts its key.
type filingBody struct {
	Key string `json:"idempotencyKey"`
}
