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

	slots       = 4
	startLimit  = time.Minute
	callLimit   = time.Minute
	longTokens  = 1_000_000
	waitLimit   = 30 * time.Second
	cutTime     = 5 * time.Second
	settleLimit = 5 * time.Second
	pollPause   = 5 * time.Millisecond
)

// measurement is a running cluster.
type measurement struct {
	cluster *testbed.Cluster
}

// failure is one kind of failure to measure.
type failure struct {
	name     string
	baseline string
	// before measures the step without the failure, after with it.
	before func(context.Context) (time.Duration, error)
	after  func(context.Context) (time.Duration, error)
}

func start(ctx context.Context) (*measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	spec := testbed.Spec{
		Proxied: true,
		Hosts: []testbed.HostSpec{
			{Name: "near-1", DataCentre: near},
			{Name: "near-2", DataCentre: near},
			{Name: "near-3", DataCentre: near},
			{Name: "far-1", DataCentre: far},
		},
		Tiers: []settings.Tier{{Name: "only", Rank: 0, DefaultDeadline: settings.Duration(callLimit)}},
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

// failures lists the kinds of failures in the order in which they are measured.
// The cuts come first: a member that was lost several times has to be heard for
// longer before it counts again.
func (m *measurement) failures() []failure {
	return []failure{
		{
			name: "data centre rejoined, to members alive", baseline: "one call through the same entry",
			before: m.oneCall, after: m.dataCentreRejoined,
		},
		{
			name: "owner killed, to its next grant", baseline: "one call through the same entry",
			before: m.oneCall, after: m.ownerKilled,
		},
		{
			name: "entry killed, to its slots free", baseline: "calls cancelled by their callers, to their slots free",
			before: m.callsCancelled, after: m.entryKilled,
		},
	}
}

func (m *measurement) measure(ctx context.Context, f failure, rounds int) (Figures, error) {
	figures := Figures{Failure: f.name, Baseline: f.baseline}
	for range rounds {
		before, err := f.before(ctx)
		if err != nil {
			return figures, err
		}
		after, err := f.after(ctx)
		if err != nil {
			return figures, err
		}
		figures.Before = append(figures.Before, milliseconds(before))
		figures.After = append(figures.After, milliseconds(after))
	}
	figures.finish()
	return figures, nil
}

// ownerAndEntry returns the owner of the pool and another host.
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

// complete makes one short call and returns the time until its end.
func complete(ctx context.Context, host *testbed.Host) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	begin := time.Now()
	answer, err := host.CallerClient(token).Complete(ctx, chatclient.Call{Model: model, Prompt: "short", MaxTokens: 1})
	if err != nil {
		return 0, err
	}
	if !answer.Whole {
		return 0, Error.New("the call was refused: %s", answer.Reason)
	}
	return time.Since(begin), nil
}

func (m *measurement) oneCall(ctx context.Context) (time.Duration, error) {
	_, entry := m.ownerAndEntry()
	return complete(ctx, entry)
}

// ownerKilled kills the owner and makes a call at once.
func (m *measurement) ownerKilled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	if err := owner.Kill(); err != nil {
		return 0, err
	}
	lasted, err := complete(ctx, entry)
	if err != nil {
		return 0, err
	}
	return lasted, m.restart(ctx, owner)
}

// restart starts a host again and waits until all hosts count it as a member.
func (m *measurement) restart(ctx context.Context, host *testbed.Host) error {
	if err := host.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := host.WaitReady(ctx); err != nil {
		return err
	}
	return m.waitAlive(ctx, len(m.cluster.Hosts))
}

// waitAlive waits until every host sees n members alive.
func (m *measurement) waitAlive(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if m.allSee(ctx, n) {
			return nil
		}
		time.Sleep(pollPause)
	}
	return Error.New("the hosts do not see %d members alive", n)
}

func (m *measurement) allSee(ctx context.Context, n int) bool {
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

// fill holds every slot with long streams through the host until stop is called.
func (m *measurement) fill(ctx context.Context, host *testbed.Host) (stop context.CancelFunc, err error) {
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
		case <-time.After(waitLimit):
			return stop, Error.New("the slots were not filled")
		}
	}
	return stop, nil
}

// whenFull fills the slots through one host, frees them, and returns how long a
// call through another host then takes. Overflow to the other data centre is cut
// off, so that the call needs one of these slots.
func (m *measurement) whenFull(ctx context.Context, holder, caller *testbed.Host, free func(stop context.CancelFunc) error) (time.Duration, error) {
	if err := m.cutFar(true); err != nil {
		return 0, err
	}
	defer func() { _ = m.cutFar(false) }()
	stop, err := m.fill(ctx, holder)
	defer stop()
	if err != nil {
		return 0, err
	}
	waiting := make(chan error, 1)
	ended := make(chan time.Time, 1)
	go func() {
		_, err := complete(ctx, caller)
		ended <- time.Now()
		waiting <- err
	}()
	time.Sleep(settleLimit / 10)
	freed := time.Now()
	if err := free(stop); err != nil {
		return 0, err
	}
	at := <-ended
	return at.Sub(freed), <-waiting
}

func (m *measurement) callsCancelled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	return m.whenFull(ctx, entry, owner, func(stop context.CancelFunc) error {
		stop()
		return nil
	})
}

func (m *measurement) entryKilled(ctx context.Context) (time.Duration, error) {
	owner, entry := m.ownerAndEntry()
	lasted, err := m.whenFull(ctx, entry, owner, func(context.CancelFunc) error { return entry.Kill() })
	if err != nil {
		return 0, err
	}
	return lasted, m.restart(ctx, entry)
}

func (m *measurement) cutFar(cut bool) error {
	return m.cluster.SetDataCentreFaults(near, far, faultproxy.Faults{Cut: cut})
}

// dataCentreRejoined cuts off a data centre, heals the cut and returns how long
// it takes until all hosts see each other.
func (m *measurement) dataCentreRejoined(ctx context.Context) (time.Duration, error) {
	if err := m.cutFar(true); err != nil {
		return 0, err
	}
	time.Sleep(cutTime)
	if err := m.cutFar(false); err != nil {
		return 0, err
	}
	healed := time.Now()
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	err := m.waitAlive(ctx, len(m.cluster.Hosts))
	return time.Since(healed), err
}
