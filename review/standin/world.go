package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
	"github.com/cornelyard/cornelyard/review/harness"
)

// world holds the store, the replicas and the hosts of a case.
type world struct {
	record   *harness.Record
	dir      string
	trouble  bool
	store    *platformtest.Store
	hosts    []*harness.Gateway
	replicas []*harness.Replica

	mu sync.Mutex
	// cut is the host that is cut off from all replicas, or nil.
	cut *harness.Gateway
}

func newWorld(record *harness.Record) (*world, error) {
	dir, err := os.MkdirTemp("", "cornelyard-review-")
	if err != nil {
		return nil, err
	}
	return &world{record: record, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: platformtest.NewStore()}, nil
}

// addReplicas starts replicas of a service.
func (w *world) addReplicas(count int, o harness.ReplicaOptions, version string) error {
	for i := range count {
		o.ID = fmt.Sprintf("i-%s-%d", o.Service, i+1)
		o.Zone = "col-" + string(rune('a'+i%4))
		o.Store, o.Record, o.Cut = w.store, w.record, w.isCut
		r, err := harness.NewReplica(o, version)
		if err != nil {
			return err
		}
		w.replicas = append(w.replicas, r)
	}
	return nil
}

// startHosts starts hosts in a zone each and waits until all are ready.
func (w *world) startHosts(count int) error {
	for i := range count {
		zone := "col-" + string(rune('a'+i%4))
		g, err := harness.NewGateway(w.dir, fmt.Sprintf("edge-%s-1", zone), zone, w.store)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// isCut reports whether a connection comes from the host that is cut off.
func (w *world) isCut(remote net.Addr) bool {
	w.mu.Lock()
	host := w.cut
	w.mu.Unlock()
	return host != nil && host.Owns(remote)
}

// setCut cuts a host off from all replicas by resets, or ends that.
func (w *world) setCut(host *harness.Gateway) {
	w.mu.Lock()
	w.cut = host
	w.mu.Unlock()
	if host == nil {
		return
	}
	for _, r := range w.replicas {
		r.CutNow()
	}
}

func (w *world) close() {
	for _, g := range w.hosts {
		g.Stop()
	}
	for _, r := range w.replicas {
		r.Stop()
	}
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, w.dir)
	}
}
