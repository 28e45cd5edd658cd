package config

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Gateway is the settings file of cornelyard-gateway. All addresses have the form
// IP:port.
type Gateway struct {
	// Host is this host's name, unique in the system.
	Host       ident.Host       `json:"host"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// CallerAddress serves the callers' requests, ReadinessAddress the load
	// balancer's health checks and MetricsAddress the metrics; PeerAddress receives
	// datagrams from other hosts.
	CallerAddress    string `json:"callerAddress"`
	ReadinessAddress string `json:"readinessAddress"`
	PeerAddress      string `json:"peerAddress"`
	MetricsAddress   string `json:"metricsAddress"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"storeAddress"`
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB int `json:"memoryMB"`
	// LinkMbps is the bandwidth of this host's link in megabits per second, of which the states
	// for other hosts take a small part. Zero means that it isn't known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Processors is the number of processors that the process uses at a time. Zero means one on a
	// host with less than smallHostMB of memory, and otherwise the default of the Go runtime.
	Processors int `json:"processors,omitempty"`
	// StopTime is the time between the request to stop and the forced termination.
	StopTime settings.Duration `json:"stopTime"`
	// DrainTime is how long the platform lets hosts send requests to a target after it has
	// announced that it is draining. Zero means that it isn't known.
	DrainTime settings.Duration `json:"drainTime,omitempty"`
	// ContactTime is how long the links of a host must have worked until it is expected to know of each
	// change. Zero means that it isn't known.
	ContactTime settings.Duration `json:"contactTime,omitempty"`
	// Contracts names the parts of the platform's terms that are in force. The adapter of the
	// platform knows what they mean.
	Contracts []string `json:"contracts,omitempty"`
	// RetryBudget is shared by all hosts.
	RetryBudget RetryBudget `json:"retryBudget"`
	// Quota configures how the teams' quotas are enforced.
	Quota Quota `json:"quota"`
	// Rollout bounds what a version that is rolled out may do; nil means that no rollouts are
	// done.
	Rollout *Rollout `json:"rollout,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
}

// smallHostMB is the memory below which a host is expected to have less than one processor: hosts of
// 112 MB have a fifth of one and those of 536 MB four fifths. With a second one, each goroutine
// that becomes ready wakes a thread that looks for work and finds none; that is a third to half
// of the processor time of a host that is nearly idle.
const smallHostMB = 1024

// UsedProcessors returns the number of processors that the process uses at a time, or zero for the
// default of the Go runtime.
func (g *Gateway) UsedProcessors() int {
	if g.Processors == 0 && g.MemoryMB > 0 && g.MemoryMB < smallHostMB {
		return 1
	}
	return g.Processors
}

// RetryBudget limits the retries that all hosts together send to the targets of one
// pool.
type RetryBudget struct {
	// Ratio is the number of retries allowed per first attempt within the window.
	Ratio float64 `json:"ratio"`
	// Allowance is the number of retries allowed in addition.
	Allowance float64           `json:"allowance"`
	Window    settings.Duration `json:"window"`
}

// Quota configures how the teams' quotas are enforced over all hosts together.
type Quota struct {
	Window settings.Duration `json:"window"`
	// Overage is the fraction of a quota by which it may be exceeded in a window.
	Overage float64 `json:"overage"`
	// Allowance is the usage allowed in addition in any window.
	Allowance float64 `json:"allowance"`
}
