package stage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Clients send requests to hosts and know to which host each client attempt was sent.
type Clients struct {
	stage  *Stage
	client *http.Client

	mu     sync.Mutex
	sentTo map[string]*Host
	counts map[string]int
}

// NewClients returns the clients of a deployment.
func NewClients(s *Stage) *Clients {
	return &Clients{
		stage:  s,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		sentTo: make(map[string]*Host), counts: make(map[string]int),
	}
}

// Request is what a client sends.
type Request struct {
	Method   string
	Path     string
	Deadline time.Duration
	Body     string
	Header   http.Header
}

// Do sends a client attempt to a host and returns how it ended and the Retry-After of the answer.
func (c *Clients) Do(h *Host, q Request) (status int, retryAfter string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c.mu.Lock()
	c.sentTo[id] = h
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.Frontend+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return 0, ""
	}
	for name, values := range q.Header {
		request.Header[name] = values
	}
	request.Host = HostName
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	request.Header.Set("Credential", Key)
	sent := time.Now()
	response, err := c.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		c.count("failed")
		c.stage.Record.AddAt(sent, "request %s to %s: %v", id, h.Name, err)
		return 0, ""
	}
	c.count(fmt.Sprint(response.StatusCode))
	c.stage.Record.AddAt(sent, "request %s to %s: %d after %d ms", id, h.Name, response.StatusCode, time.Since(sent).Milliseconds())
	return response.StatusCode, response.Header.Get("Retry-After")
}

func (c *Clients) count(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[end]++
}

// Counts returns how many attempts ended in which way.
func (c *Clients) Counts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}

// HostOf returns the host to which a client attempt was sent, or nil.
func (c *Clients) HostOf(id string) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentTo[id]
}
