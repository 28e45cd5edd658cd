package overhead

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	warmUpDuration = 2 * time.Second
	callTimeout    = 30 * time.Second
)

// measurement is one run.
type measurement struct {
	options options
	client  *http.Client
	direct  *side
	through *side
}

func newMeasurement(o options, cluster *testbed.Cluster) *measurement {
	m := &measurement{options: o, client: newClient()}
	engine := cluster.Targets[engineName]
	m.direct = newSide(&chatclient.Client{BaseURL: "http://" + engine.Address, HTTP: m.client})
	var callers []*chatclient.Client
	for _, host := range cluster.Hosts {
		callers = append(callers, &chatclient.Client{BaseURL: host.CallerURL(), Token: token, HTTP: m.client})
	}
	m.through = newSide(callers...)
	return m
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots, DisableCompression: true}}
}

func (m *measurement) run(ctx context.Context) (*Report, error) {
	defer m.client.CloseIdleConnections()
	for _, way := range []*side{m.direct, m.through} {
		discarded := newSide(way.callers...)
		m.phase(ctx, discarded, warmUpDuration, 0)
	}
	for round := range m.options.rounds {
		seed := m.options.seed + uint64(round)
		m.phase(ctx, m.direct, m.options.duration, seed)
		m.phase(ctx, m.through, m.options.duration, seed)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return m.report(), nil
}

// phase makes calls at random times of the mean rate and waits for their ends.
func (m *measurement) phase(ctx context.Context, s *side, duration time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	var calls sync.WaitGroup
	defer calls.Wait()
	var due time.Duration
	begin := time.Now()
	for i := 0; ; i++ {
		due += time.Duration(random.ExpFloat64() / m.options.rate * float64(time.Second))
		if due >= duration || standin.Sleep(ctx, due-time.Since(begin)) != nil {
			return
		}
		calls.Go(func() { m.call(ctx, s, i) })
	}
}

// call makes one call; every other one is streamed.
func (m *measurement) call(ctx context.Context, s *side, i int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream := i%2 == 0
	prompt := fmt.Sprintf("call %d", i)
	answer, err := s.caller(i/2).Complete(ctx, chatclient.Call{
		Model: model, Prompt: prompt, MaxTokens: m.options.tokens, Stream: stream,
	})
	if err != nil || !answer.Whole || answer.Content != chatclient.ExpectedContent(prompt, m.options.tokens) {
		s.failed.Add(1)
		return
	}
	s.add(stream, answer.FirstToken, answer.Total)
}

func (m *measurement) report() *Report {
	return &Report{
		Rate:          m.options.rate,
		PhaseSeconds:  m.options.duration.Seconds(),
		Rounds:        m.options.rounds,
		Hosts:         m.options.hosts,
		Tokens:        m.options.tokens,
		DecodeGapMs:   float64(m.options.decodeGap) / float64(time.Millisecond),
		Seed:          m.options.seed,
		DirectFailed:  m.direct.failed.Load(),
		ThroughFailed: m.through.failed.Load(),
		FirstToken:    compare(m.direct.firstToken, m.through.firstToken),
		Streamed:      compare(m.direct.streamed, m.through.streamed),
		Whole:         compare(m.direct.whole, m.through.whole),
	}
}
