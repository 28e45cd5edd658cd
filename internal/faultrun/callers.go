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
	// callTimeout bounds one call; it is longer than every deadline.
	callTimeout = 40 * time.Second
	// maxTokens is the largest output limit of a call.
	maxTokens = 80
	// filingAttempts is how often a caller sends a filing until it succeeds.
	filingAttempts = 4
	// callInterval keeps callers from flooding hosts that refuse immediately.
	callInterval = 20 * time.Millisecond
)

// callers makes calls until it is stopped and records their responses.
type callers struct {
	cluster *testbed.Cluster
	seed    uint64

	mu            sync.Mutex
	outOfRotation map[ident.Host]bool
	engineCalls   []*engineCall
	filingCalls   []*filingCall
}

func newCallers(cluster *testbed.Cluster, seed uint64) *callers {
	return &callers{cluster: cluster, seed: seed, outOfRotation: make(map[ident.Host]bool)}
}

// setOutOfRotation takes a host out of the load balancer's rotation or puts it back.
func (c *callers) setOutOfRotation(host ident.Host, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outOfRotation[host] = out
}

// run makes calls one after another until ctx ends. It completes the last one.
func (c *callers) run(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("call %d of caller %d", n, caller)
		if caller%4 == 0 {
			c.submitFiling(random, name)
		} else {
			c.callEngine(random, name)
		}
		time.Sleep(callInterval)
	}
}

// pickHost returns a random host that is in the load balancer's rotation, or any host
// if there is none.
func (c *callers) pickHost(random *rand.Rand) *testbed.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.cluster.Hosts
	start := random.IntN(len(hosts))
	for i := range hosts {
		h := hosts[(start+i)%len(hosts)]
		if !c.outOfRotation[h.ID()] {
			return h
		}
	}
	return hosts[start]
}

func (c *callers) callEngine(random *rand.Rand, name string) {
	host := c.pickHost(random)
	call := &engineCall{
		call: chatclient.Call{
			Model:     model,
			Prompt:    name,
			MaxTokens: 1 + random.IntN(maxTokens),
			Stream:    random.IntN(3) > 0,
			Tier:      []ident.Tier{high, low}[random.IntN(2)],
		},
		host:    host.ID(),
		started: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call.answer, call.err = host.CallerClient(token).Complete(ctx, call.call)
	call.finished = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engineCalls = append(c.engineCalls, call)
}

// submitFiling sends a filing and retries it, possibly through other hosts, until it
// succeeds or filingAttempts are used up.
func (c *callers) submitFiling(random *rand.Rand, key string) {
	for range filingAttempts {
		call := c.submitFilingOnce(c.pickHost(random), key)
		c.mu.Lock()
		c.filingCalls = append(c.filingCalls, call)
		c.mu.Unlock()
		if call.err == nil && call.status == http.StatusOK {
			return
		}
		time.Sleep(callInterval)
	}
}

func (c *callers) submitFilingOnce(host *testbed.Host, key string) *filingCall {
	call := &filingCall{key: key, host: host.ID(), begun: time.Now()}
	defer func() { call.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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

// filingBody is the body of a filing; the service counts requests by its key.
type filingBody struct {
	Key string `json:"idempotencyKey"`
}
