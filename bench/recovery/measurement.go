package recovery

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	model = "drafting"
	token = "caller"
	near  = ident.DataCentre("near")
	far   = ident.DataCentre("far")

	slots         = 4
	startTimeout  = time.Minute
	callTimeout   = time.Minute
	longTokens    = 1_000_000
	waitTimeout   = 30 * time.Second
	partitionTime = 5 * time.Second
	settleTimeout = 5 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// measurement holds the running cluster.
type measurement struct {
	cluster *testbed.Cluster
}

func start(ctx context.Context) (*measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	spec := testbed.Spec{
		Proxied: true,
		Hosts: []testbed.HostSpec{
			{Name: "near-1", DataCentre: near},
			{Name: "near-2", DataCentre: near},
			{Name: "near-3", DataCentre: near},
			{Name: "far-1", DataCentre: far},
		},
		Tiers: []settings.Tier{{Name: "only", Rank: 0, DefaultDeadline: settings.Duration(callTimeout)}},
		Pools: []settings.Pool{{Name: model, Kind: settings.EnginePool, Model: model, MaxQueue: 100}},
		Targets: []testbed.TargetSpec{
			testbed.EngineSpec("near-e1", model, near, slots, "--decode-gap=2ms"),
			testbed.EngineSpec("far-e1", model, far, slots, "--decode-gap=2ms"),
		},
		Teams: []testbed.TeamSpec{{Name: "team", Token: token, DefaultTier: "only"}},
	}
	cluster, err := testbed.Start(ctx, spec)
	return &measurement{cluster: cluster}, err
}

func (m *measurement) measure(ctx context.Context, f failure, rounds int) (Figures, error) {
	figures := Figures{Failure: f.name, Baseline: f.baseline}
	for range rounds {
		before, err := f.measureBaseline(ctx)
		if err != nil {
			return figures, err
		}
		after, err := f.measureFailure(ctx)
		if err != nil {
			return figures, err
		}
		figures.Before = append(figures.Before, milliseconds(before))
		figures.After = append(figures.After, milliseconds(after))
	}
	figures.computeSummary()
	return figures, nil
}

// ownerAndEntry returns the owner of the pool in the near data centre and another host
// there, through which calls are made.
func (m *measurement) ownerAndEntry() (owner, entry *testbed.Host) {
	view := &membership.View{}
	for _, h := range m.cluster.Hosts {
		view.Members = append(view.Members, membership.Member{
			Host: h.ID(), DataCentre: h.Settings.DataCentre, State: membership.Alive,
		})
	}
	owner = m.cluster.Host(view.Owner(near, model))
	for _, h := range m.cluster.Hosts {
		if h != owner && h.Settings.DataCentre == near {
			return owner, h
		}
	}
	return owner, nil
}

// complete makes one short call and returns its duration.
func complete(ctx context.Context, host *testbed.Host) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begin := time.Now()
	response, err := host.CallerClient(token).Complete(ctx, chatclient.Call{Model: model, Prompt: "short", MaxTokens: 1})
	if err != nil {
		return 0, err
	}
	if !response.Whole {
		return 0, Error.New("call got no complete response, reason %q", response.Reason)
	}
	return time.Since(begin), nil
}

func (m *measurement) measureOneCall(ctx context.Context) (time.Duration, error) {
	_, entry := m.ownerAndEntry()
	return complete(ctx, entry)
}
