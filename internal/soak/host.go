package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/platform/platformtest"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	// stopTime is the time that a host has to stop.
	shutdownTimeout = 6 * time.Second
	// quotaWindow, quotaOverage and quotaAllowance say how quotas are measured.
	quotaWindow    = 4 * time.Second
	quotaOverage   = 0.1
	quotaAllowance = 40
	memoryMB       = 200
)

// host is one host's process.
type host struct {
	*testbed.Process
	settings      config.Gateway
	storeLink     *faultproxy.Link
	caller        *platformtest.Caller
	limitedCaller *platformtest.Caller
	// busy is held while a fault acts on the host alone, and disturbed are the times
	// in which one did.
	faultLock  sync.Mutex
	faultSpans spans

	mu sync.Mutex
	// out says that the balancer sends it nothing.
	outOfRotation bool
	// life counts the starts.
	incarnation int
	// stops are the planned stops that were begun.
	plannedStops []time.Time
	// ended holds the lives that ended though nobody had told them to.
	unexpectedExits []int
	// told says that the process was told to end.
	exitExpected bool
}

// newHost puts a host's settings together.
func newHost(dir, binary, name, dataCentre string, store *faultproxy.Link) (*host, error) {
	addresses := make([]string, 4)
	for i := range addresses {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	h := &host{storeLink: store, outOfRotation: true}
	h.settings = config.Gateway{
		CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2],
		MetricsAddress: addresses[3], StoreAddress: store.Address, MemoryMB: memoryMB,
		StopTime:    settings.Duration(shutdownTimeout),
		RetryBudget: config.RetryBudget{Ratio: 0.2, Allowance: 20, Window: settings.Duration(10 * time.Second)},
		Quota: config.Quota{
			Window: settings.Duration(quotaWindow), Overage: quotaOverage, Allowance: quotaAllowance,
		},
	}
	h.settings.Host, h.settings.DataCentre = ident.Host(name), ident.DataCentre(dataCentre)
	h.caller = platformtest.NewCaller(h.settings.CallerAddress, platformtest.Key)
	h.limitedCaller = platformtest.NewCaller(h.settings.CallerAddress, platformtest.LimitedKey)
	path := filepath.Join(dir, name+".json")
	data, err := json.MarshalIndent(h.settings, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	h.Process = testbed.NewProcess(dir, name, binary, "--settings", path)
	return h, nil
}

// begin starts a process of the host.
func (h *host) startProcess() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation++
	h.exitExpected = false
	return h.Start()
}

// tell notes that the process is told to end.
func (h *host) expectExit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitExpected = true
}

func (h *host) currentIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

func (h *host) setOutOfRotation(out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outOfRotation = out
}

func (h *host) isOutOfRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outOfRotation
}
