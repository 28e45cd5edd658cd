package recovery

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
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

// failure is a kind of failure with its measurement.
type failure struct {
	name     string
	baseline string
	// measureBaseline measures the step without the failure, measureFailure with it.
	measureBaseline func(context.Context) (time.Duration, error)
	measureFailure  func(context.Context) (time.Duration, error)
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

// failures returns the kinds of failures in the order of measurement. Partitions come
// first, because a member that was lost repeatedly must be heard from for longer before
// it counts as alive again.
func (m *measurement) failures() []failure {
	return []failure{
		{
			name: "data centre rejoined, to members alive", baseline: "one call through the same entry",
			measureBaseline: m.measureOneCall, measureFailure: m.measureDataCentreRejoined,
		},
		{
			name: "owner killed, to its next grant", baseline: "one call through the same entry",
			measureBaseline: m.measureOneCall, measureFailure: m.measureOwnerKilled,
		},
		{
			name: "entry killed, to its slots free", baseline: "calls cancelled by their callers, to their slots free",
			measureBaseline: m.measureCallsCancelled, measureFailure: m.measureEntryKilled,
		},
	}
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

// measureOwnerKilled kills the owner and immediately makes a call through another host.
func (m *measurement) measureOwnerKilled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	if err := owner.Kill(); err != nil {
		return 0, err
	}
	elapsed, err := complete(ctx, entry)
	if err != nil {
		return 0, err
	}
	return elapsed, m.restart(ctx, owner)
}

// restart starts a host again and waits until every host sees all members alive.
func (m *measurement) restart(ctx context.Context, host *testbed.Host) error {
	if err := host.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := host.WaitReady(ctx); err != nil {
		return err
	}
	return m.waitAlive(ctx, len(m.cluster.Hosts))
}

// waitAlive waits until every host sees n members alive.
func (m *measurement) waitAlive(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if m.allHostsSee(ctx, n) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return Error.New("context ended before every host saw %d members alive", n)
}

func (m *measurement) allHostsSee(ctx context.Context, n int) bool {
	operator := m.cluster.Hosts[0].OperatorClient()
	defer operator.Close()
	status, err := operator.Status(ctx)
	if err != nil || len(status.Hosts) < n {
		return false
	}
	for _, host := range status.Hosts {
		if host.Alive != n {
			return false
		}
	}
	return true
}

// fillSlots occupies every slot with long streams through the host until stop is called.
func (m *measurement) fillSlots(ctx context.Context, host *testbed.Host) (stop context.CancelFunc, err error) {
	ctx, stop = context.WithCancel(ctx)
	begun := make(chan struct{}, 2*slots)
	for n := range slots {
		call := chatclient.Call{
			Model: model, Prompt: fmt.Sprintf("long %d", n), MaxTokens: longTokens, Stream: true,
			OnToken: func(tokens int) {
				if tokens == 1 {
					begun <- struct{}{}
				}
			},
		}
		go func() { _, _ = host.CallerClient(token).Complete(ctx, call) }()
	}
	for range slots {
		select {
		case <-begun:
		case <-time.After(waitTimeout):
			return stop, Error.New("timed out filling the slots with streams")
		}
	}
	return stop, nil
}

// measureFreedSlots fills the slots through one host, frees them, and returns how long a
// call that waits at another host takes from then on. The far data centre is partitioned
// meanwhile, so that the call cannot overflow to it and needs one of these slots.
func (m *measurement) measureFreedSlots(ctx context.Context, holder, caller *testbed.Host, free func(stop context.CancelFunc) error) (time.Duration, error) {
	if err := m.setFarPartitioned(true); err != nil {
		return 0, err
	}
	defer func() { _ = m.setFarPartitioned(false) }()
	stop, err := m.fillSlots(ctx, holder)
	defer stop()
	if err != nil {
		return 0, err
	}
	callErr := make(chan error, 1)
	finished := make(chan time.Time, 1)
	go func() {
		_, err := complete(ctx, caller)
		finished <- time.Now()
		callErr <- err
	}()
	time.Sleep(settleTimeout / 10)
	freed := time.Now()
	if err := free(stop); err != nil {
		return 0, err
	}
	at := <-finished
	return at.Sub(freed), <-callErr
}

func (m *measurement) measureCallsCancelled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	return m.measureFreedSlots(ctx, entry, owner, func(stop context.CancelFunc) error {
		stop()
		return nil
	})
}

func (m *measurement) measureEntryKilled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	elapsed, err := m.measureFreedSlots(ctx, entry, owner, func(context.CancelFunc) error { return entry.Kill() })
	if err != nil {
		return 0, err
	}
	return elapsed, m.restart(ctx, entry)
}

func (m *measurement) setFarPartitioned(cut bool) error {
	return m.cluster.SetDataCentreFaults(near, far, faultproxy.Faults{Cut: cut})
}

// measureDataCentreRejoined partitions a data centre, heals the partition and returns how
// long it takes until all hosts see each other alive.
func (m *measurement) measureDataCentreRejoined(ctx context.Context) (time.Duration, error) {
	if err := m.setFarPartitioned(true); err != nil {
		return 0, err
	}
	time.Sleep(partitionTime)
	if err := m.setFarPartitioned(false); err != nil {
		return 0, err
	}
	healed := time.Now()
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	err := m.waitAlive(ctx, len(m.cluster.Hosts))
	return time.Since(healed), err
}
