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
	stopTime = 6 * time.Second
	// quotaWindow, quotaOverage and quotaAllowance say how quotas are measured.
	quotaWindow    = 4 * time.Second
	quotaOverage   = 0.1
	quotaAllowance = 40
	memoryMB       = 200
)

// host is one host's process.
type host struct {
	*testbed.Process
	settings  config.Gateway
	storeLink *faultproxy.Link
	caller    *platformtest.Caller
	small     *platformtest.Caller
	// busy is held while a fault acts on the host alone, and disturbed are the times
	// in which one did.
	busy      sync.Mutex
	disturbed spans

	mu sync.Mutex
	// out says that the balancer sends it nothing.
	out bool
	// life counts the starts.
	life int
	// stops are the planned stops that were begun.
	stops []time.Time
	// ended holds the lives that ended though nobody had told them to.
	ended []int
	// told says that the process was told to end.
	told bool
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
	h := &host{storeLink: store, out: true}
	h.settings = config.Gateway{
		CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2],
		MetricsAddress: addresses[3], StoreAddress: store.Address, MemoryMB: memoryMB,
		StopTime:    settings.Duration(stopTime),
		RetryBudget: config.RetryBudget{Ratio: 0.2, Allowance: 20, Window: settings.Duration(10 * time.Second)},
		Quota: config.Quota{
			Window: settings.Duration(quotaWindow), Overage: quotaOverage, Allowance: quotaAllowance,
		},
	}
	h.settings.Host, h.settings.DataCentre = ident.Host(name), ident.DataCentre(dataCentre)
	h.caller = platformtest.NewCaller(h.settings.CallerAddress, platformtest.Key)
	h.small = platformtest.NewCaller(h.settings.CallerAddress, platformtest.LimitedKey)
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
func (h *host) begin() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life++
	h.told = false
	return h.Start()
}

// tell notes that the process is told to end.
func (h *host) tell() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = true
}

func (h *host) currentLife() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

func (h *host) setOut(out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out = out
}

func (h *host) isOut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out
}
