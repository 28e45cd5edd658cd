package operatortest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage/restclient"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

const (
	// OperatorToken is accepted by the operator listener of every host.
	OperatorToken = "operator-token"

	syncInterval    = 10 * time.Millisecond
	applyTimeout    = 2 * time.Second
	platformTimeout = 2 * time.Second
	dataCentre      = ident.DataCentre("col-1")
)

// Cluster is a set of hosts and their platform.
type Cluster struct {
	Platform *standin.Platform
	Hosts    []*Host

	network  *network
	tables   []*restclient.Client
	url      string
	cleanups []func()
	running  sync.WaitGroup
}

// Start starts count hosts named "host-1", "host-2" and so on. Close stops them.
func Start(count int) *Cluster {
	c := &Cluster{
		Platform: standin.New(standin.Options{}),
		network:  &network{methods: make(map[ident.Host][]operator.Method)},
	}
	server := httptest.NewServer(c.Platform.Handler())
	c.url = server.URL
	c.cleanups = append(c.cleanups, server.Close)
	for i := range count {
		c.Hosts = append(c.Hosts, c.startHost(ident.Host(fmt.Sprintf("host-%d", i+1))))
	}
	c.SetState("", membership.Alive)
	return c
}

// Close stops all hosts and the platform.
func (c *Cluster) Close() {
	for i := len(c.cleanups) - 1; i >= 0; i-- {
		c.cleanups[i]()
	}
	c.running.Wait()
	for _, table := range c.tables {
		table.CloseIdleConnections()
	}
}

// Addresses returns the operator addresses of all hosts.
func (c *Cluster) Addresses() []string {
	var addresses []string
	for _, h := range c.Hosts {
		addresses = append(addresses, h.Address)
	}
	return addresses
}

// Disconnect makes the host unreachable for the other hosts.
func (c *Cluster) Disconnect(host ident.Host) { c.network.disconnect(host) }

// StopSettings stops the host's settings watcher, so that it no longer applies new
// settings.
func (c *Cluster) StopSettings(host ident.Host) {
	for _, h := range c.Hosts {
		if h.Name == host {
			h.stopSettings()
		}
	}
}

// SetState sets the membership state of one host, as all hosts see it, and sets all
// other hosts to alive.
func (c *Cluster) SetState(host ident.Host, state membership.State) {
	var all []membership.Member
	for _, h := range c.Hosts {
		member := c.member(h.Name)
		if h.Name == host {
			member.State = state
		}
		all = append(all, member)
	}
	for _, h := range c.Hosts {
		h.members.set(all)
	}
}

func (c *Cluster) member(name ident.Host) membership.Member {
	return membership.Member{Host: name, DataCentre: dataCentre, Incarnation: 1, State: membership.Alive}
}

func (c *Cluster) startHost(name ident.Host) *Host {
	table := restclient.New(restclient.Options{BaseURL: c.url, Timeout: platformTimeout})
	c.tables = append(c.tables, table)
	h := &Host{
		Name:     name,
		Timeline: timeline.NewRing(timeline.RingOptions{Host: name}),
		Usage:    usage.NewAggregator(usage.Options{Host: name, Incarnation: 1}),
		members:  &members{view: membership.View{Self: c.member(name)}},
	}
	h.Settings = settings.NewWatcher(settings.WatcherOptions{Table: table, Interval: syncInterval, Recorder: h.Timeline})
	h.Store = settings.NewStore(settings.StoreOptions{Table: table, Watcher: h.Settings, Timeout: applyTimeout})
	h.Operator = operator.New(operator.Options{
		OperatorTokenHashes: []string{settings.TokenHash(OperatorToken)},
		Settings:            h.Settings,
		Store:               h.Store,
		Members:             h.members,
		Caller:              c.network,
		Pools:               pools{ownedPoolStatus(name)},
		Timeline:            h.Timeline,
		Usage:               h.Usage,
		UsageInterval:       syncInterval,
		Ready:               h.Settings.Ready,
		Metrics:             http.HandlerFunc(writeMetrics),
	})
	c.network.connect(name, h.Operator.Methods())
	c.serve(h)
	return h
}

func (c *Cluster) serve(h *Host) {
	server := httptest.NewServer(h.Operator.Handler())
	h.Address = server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	c.running.Go(func() { _ = h.Settings.Run(ctx) })
	h.stopSettings = cancel
	c.cleanups = append(c.cleanups, server.Close, cancel)
}

func ownedPoolStatus(host ident.Host) pool.Status {
	name := ident.Pool("pool-of-" + string(host))
	return pool.Status{Pool: name, Snapshot: admission.Snapshot{
		Pool:    name,
		Tiers:   []admission.TierSnapshot{{Tier: "gold", Queued: 3, RunningRequests: 2}},
		Targets: []admission.TargetSnapshot{{Target: "e1", RunningRequests: 2, Ceiling: 4, Slots: 4}},
	}}
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("cornelyard_settings_version 1\n"))
}
