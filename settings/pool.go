package settings

import "github.com/cornelyard/cornelyard/ident"

// PoolKind tells what a pool's targets are.
type PoolKind string

const (
	// EnginePool is a pool of model engines.
	EnginePool PoolKind = "engine"
	// ServicePool is a pool of plain services.
	ServicePool PoolKind = "service"
)

// Policy names a scheduling policy.
type Policy string

const (
	// PolicyPredictive is late binding with learned rates, prefix affinity,
	// strict tiers, shedding and preemption. It is the default.
	PolicyPredictive Policy = "predictive"
	// PolicyRoundRobin is a baseline: targets in turn, first come first served.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastReportedLoad is a baseline: the target that last reported the
	// least load, first come first served.
	PolicyLeastReportedLoad Policy = "least-reported-load"
	// PolicyLateBinding is a baseline: one queue, first come first served, a
	// target is chosen when a slot is free.
	PolicyLateBinding Policy = "late-binding"
)

// Pool declares one pool. File: pools/<name>.json.
type Pool struct {
	Name ident.Pool `json:"-"`
	Kind PoolKind   `json:"kind"`
	// Model is the model name that callers ask for; for a service pool it is
	// empty and callers name the pool in the path.
	Model string `json:"model,omitempty"`
	// Policy defaults to PolicyPredictive.
	Policy Policy `json:"policy,omitempty"`
	// TokenGap is the time between tokens that the pool promises; zero means
	// that slots are limited by Target.Slots alone.
	TokenGap Duration `json:"tokenGap,omitempty"`
	// MaxQueue limits the queued requests in one data centre.
	MaxQueue int `json:"maxQueue"`
	// Shares weighs teams within a tier; a team that is not listed has weight 1.
	Shares map[ident.Team]float64 `json:"shares,omitempty"`
	// NonIdempotentPaths lists path prefixes below /services/{name} whose calls
	// must not be repeated even if the caller does not say so.
	NonIdempotentPaths []string `json:"nonIdempotentPaths,omitempty"`
}
