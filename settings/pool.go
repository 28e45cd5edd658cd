package settings

import "github.com/cornelyard/cornelyard/ident"

// Pool declares a pool of targets. File: pools/<name>.json.
type Pool struct {
	Name ident.Pool `json:"-"`
	Kind PoolKind   `json:"kind" jsonschema:"enum=engine,enum=service"`
	// Model is the model name in callers' requests. It is empty for a service pool,
	// which callers name in the request path.
	Model string `json:"model,omitempty" jsonschema_description:"model that callers ask for; only for engines"`
	// Policy defaults to PolicyPredictive.
	Policy Policy `json:"policy,omitempty" jsonschema:"enum=predictive,enum=round-robin,enum=least-reported-load,enum=late-binding" jsonschema_description:"scheduling policy; predictive is the default"`
	// TokenGap is the objective for the time between tokens. Zero means that only
	// Target.Slots limits the concurrent requests.
	TokenGap Duration `json:"tokenGap,omitempty" jsonschema_description:"time between tokens that the pool promises"`
	// MaxQueue limits the queued requests of one data centre.
	MaxQueue int `json:"maxQueue" jsonschema:"minimum=1" jsonschema_description:"queued requests in one data centre"`
	// Shares are the teams' weights within a tier; teams that are not listed have
	// weight 1.
	Shares map[ident.Team]float64 `json:"shares,omitempty" jsonschema_description:"weights of teams within a tier; 1 for those not listed"`
	// NonIdempotentPaths lists path prefixes below /services/{name} whose requests
	// must not be retried, even if the caller does not mark them as non-idempotent.
	NonIdempotentPaths []string `json:"nonIdempotentPaths,omitempty" jsonschema_description:"path prefixes whose calls must not be repeated; only for services"`
}
