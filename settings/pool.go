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
	Kind PoolKind   `json:"kind" jsonschema:"enum=engine,enum=service"`
	// Model is the model name that callers ask for; for a service pool it is
	// empty and callers name the pool in the path.
	Model string `json:"model,omitempty" jsonschema_description:"model that callers ask for; only for engines"`
	// Policy defaults to PolicyPredictive.
	Policy Policy `json:"policy,omitempty" jsonschema:"enum=predictive,enum=round-robin,enum=least-reported-load,enum=late-binding" jsonschema_description:"scheduling policy; predictive is the default"`
	// TokenGap is the time between tokens that the pool promises; zero means
	// that slots are limited by Target.Slots alone.
	TokenGap Duration `json:"tokenGap,omitempty" jsonschema_description:"time between tokens that the pool promises"`
	// MaxQueue limits the queued requests in one data centre.
	MaxQueue int `json:"maxQueue" jsonschema:"minimum=1" jsonschema_description:"queued requests in one data centre"`
	// Shares weighs teams within a tier; a team that is not listed has weight 1.
	Shares map[ident.Team]float64 `json:"shares,omitempty" jsonschema_description:"weights of teams within a tier; 1 for those not listed"`
	// NonIdempotentPaths lists path prefixes below /services/{name} whose calls
	// must not be repeated even if the caller does not say so.
	NonIdempotentPaths []string `json:"nonIdempotentPaths,omitempty" jsonschema_description:"path prefixes whose calls must not be repeated; only for services"`
}
