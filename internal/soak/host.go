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
	// shutdownTimeout is how long a host may take to shut down.
	shutdownTimeout = 6 * time.Second
	// quotaWindow, quotaOverage and quotaAllowance are the quota settings: the length of
	// the window, and the relative and absolute excess allowed in it.
	quotaWindow    = 4 * time.Second
	quotaOverage   = 0.1
	quotaAllowance = 40
	// retryRatio, retryAllowance and retryWindow are the retry budget of all hosts together.
	// The window is short, so that a run covers several.
	retryRatio     = 0.2
	retryAllowance = 52
	retryWindow    = 3 * time.Second
	memoryMB       = 200
)

// host is a host and its current process.
type host struct {
	*testbed.Process
	settings config.Gateway
	// settingsPath is the path of the settings file.
	settingsPath  string
	storeLink     *faultproxy.Link
	caller        *platformtest.Caller
	limitedCaller *platformtest.Caller
	guestCaller   *platformtest.Caller
	// faultLock is held while a host fault is active, so that there is only one at a
	// time. faultSpans are the periods with such a fault.
	faultLock  sync.Mutex
	faultSpans spans

	mu sync.Mutex
	// outOfRotation is set while the load balancer sends the host no requests.
	outOfRotation bool
	// incarnation counts the process starts.
	incarnation int
	// builds holds the name of the build of each incarnation.
	builds []string
	// build is that of the next incarnation.
	build *build
	// plannedStops are the times at which planned stops began.
	plannedStops []time.Time
	// unexpectedExits are the incarnations that exited without an order to.
	unexpectedExits []int
	// exitExpected is set once the process was ordered to exit or was killed, and after an
	// unexpected exit was recorded.
	exitExpected bool
}

// newHost returns a host that runs a build. It does not start the process.
func newHost(dir string, b *build, name, dataCentre string, store *faultproxy.Link) (*host, error) {
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
		RetryBudget: config.RetryBudget{Ratio: retryRatio, Allowance: retryAllowance, Window: settings.Duration(retryWindow)},
		Quota: config.Quota{
			Window: settings.Duration(quotaWindow), Overage: quotaOverage, Allowance: quotaAllowance,
		},
	}
	h.settings.Host, h.settings.DataCentre = ident.Host(name), ident.DataCentre(dataCentre)
	h.caller = platformtest.NewCaller(h.settings.CallerAddress, platformtest.Key)
	h.limitedCaller = platformtest.NewCaller(h.settings.CallerAddress, platformtest.LimitedKey)
	h.guestCaller = platformtest.NewCaller(h.settings.CallerAddress, platformtest.GuestKey)
	h.settingsPath = filepath.Join(dir, name+".json")
	h.Process = testbed.NewProcess(dir, name, b.binary, "--settings", h.settingsPath)
	return h, h.setBuild(b)
}

// setBuild replaces the build and writes its settings file, for the next incarnation. The
// process must not run.
func (h *host) setBuild(b *build) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.build = b
	h.SetBinary(b.binary)
	data, err := json.MarshalIndent(b.settingsOf(h.settings), "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(h.settingsPath, data, 0o600))
}

// buildOf returns the name of the build of an incarnation.
func (h *host) buildOf(incarnation int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if incarnation < 1 || incarnation > len(h.builds) {
		return "no build"
	}
	return h.builds[incarnation-1]
}

// startProcess starts a new incarnation of the host.
func (h *host) startProcess() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation++
	h.builds = append(h.builds, h.build.name)
	h.exitExpected = false
	return h.Start()
}

// expectExit marks the coming exit of the process as expected.
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
