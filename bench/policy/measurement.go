package policy

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	warmUpLoad = 0.7
	slowFactor = 10
	maxIdle    = 256
)

// measurement runs all variants one after another.
type measurement struct {
	options options
	shape   shape
	report  *Report
}

func (m *measurement) run(ctx context.Context) error {
	for _, v := range m.variants() {
		if err := m.runVariant(ctx, v); err != nil {
			return err
		}
	}
	m.report.Goals = evaluateGoals(m.report.Results)
	return ctx.Err()
}

// fastest returns the fastest engine of the first data centre.
func (m *measurement) fastest() ident.Target {
	engines := m.shape.engines()
	best := engines[0]
	for _, e := range engines {
		if e.dataCentre == best.dataCentre && e.speed > best.speed {
			best = e
		}
	}
	return best.name
}

func (m *measurement) runVariant(ctx context.Context, v variant) error {
	cluster, err := testbed.Start(ctx, m.shape.spec(v.policy, v.absent))
	defer cluster.Stop()
	if err != nil {
		fmt.Fprint(os.Stderr, cluster.Logs())
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}
	defer client.CloseIdleConnections()
	warmUp := newWorkload(m.options.seed, m.shape, warmUpLoad, m.options.deadlines).jobs(m.options.warmUp)
	newPhase(cluster, client).run(ctx, warmUp, m.options.warmUp)
	for _, load := range v.loads {
		result, err := m.runPhase(ctx, cluster, client, v, load)
		if err != nil {
			return err
		}
		m.report.Results = append(m.report.Results, result)
		fmt.Fprintf(os.Stderr, "%s %s at %.1f: %d of %d good, wasted %.3f\n",
			v.policy, v.name, load, result.Total.Good, result.Total.Offered, result.WastedRatio)
	}
	return nil
}

func (m *measurement) runPhase(ctx context.Context, cluster *testbed.Cluster, client *http.Client, v variant, load float64) (Result, error) {
	before, err := readPrefill(cluster)
	if err != nil {
		return Result{}, err
	}
	p := newPhase(cluster, client)
	if v.slowed != "" {
		p.midway = func() {
			_ = cluster.Targets[v.slowed].SetEngineFaults(engine.Faults{SlowFactor: slowFactor})
		}
	}
	p.run(ctx, newWorkload(m.options.seed, m.shape, load, m.options.deadlines).jobs(m.options.duration), m.options.duration)
	time.Sleep(settleTime)
	after, err := readPrefill(cluster)
	if err != nil {
		return Result{}, err
	}
	result := p.result()
	result.Policy, result.Case, result.Load = v.policy, v.name, load
	result.PrefillTokens = after.computed - before.computed
	result.WastedPrefillTokens = after.wasted - before.wasted
	result.WastedRatio = float64(result.WastedPrefillTokens) / float64(max(1, result.PrefillTokens))
	return result, nil
}

// settleTime is long enough for the engines to count the prefill of interrupted streams
// as wasted: they keep such streams for the resume window.
const settleTime = engine.DefaultResumeWindow + 500*time.Millisecond
