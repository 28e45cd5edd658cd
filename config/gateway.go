package config

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Gateway is the settings file of cornelyard-gateway. All addresses are IP:port.
type Gateway struct {
	// Host is this host's name, unique in the system.
	Host       ident.Host       `json:"host"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// CallerAddress takes requests, ReadinessAddress the balancer's questions,
	// PeerAddress the other hosts' datagrams; MetricsAddress serves the metrics.
	CallerAddress    string `json:"callerAddress"`
	ReadinessAddress string `json:"readinessAddress"`
	PeerAddress      string `json:"peerAddress"`
	MetricsAddress   string `json:"metricsAddress"`
	// StoreAddress is the platform's store.
	StoreAddress string `json:"storeAddress"`
	// MemoryMB is what the process may use, in megabytes.
	MemoryMB int `json:"memoryMB"`
	// StopTime is the time from the request to stop to the forced end.
	StopTime settings.Duration `json:"stopTime"`
	// RetryBudget is the budget of all hosts together.
	RetryBudget RetryBudget `json:"retryBudget"`
	// Quota is how the teams' quotas are measured.
	Quota Quota `json:"quota"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
}

// RetryBudget bounds the repeats that all hosts send to the targets of one pool.
type RetryBudget struct {
	// Ratio is the repeats for each first request within the window.
	Ratio float64 `json:"ratio"`
	// Allowance is the repeats besides.
	Allowance float64           `json:"allowance"`
	Window    settings.Duration `json:"window"`
}

// Quota is how the teams' quotas are measured over all hosts.
type Quota struct {
	Window settings.Duration `json:"window"`
	// Overage is the part of a quota that may be used beyond it in a window.
	Overage float64 `json:"overage"`
	// Allowance is what may be used besides, in any window.
	Allowance float64 `json:"allowance"`
}
