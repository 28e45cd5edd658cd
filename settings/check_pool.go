package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// maxShare is the largest weight of a team in a pool.
const maxShare = 1000

const (
	allowedKinds    = "engine, service"
	allowedPolicies = "predictive, round-robin, least-reported-load, late-binding"
)

// checkPool adds the findings of one pool by itself.
func checkPool(e *entry) {
	checkPoolKind(e)
	checkPolicy(e)
	if e.pool.TokenGap < 0 {
		e.fault("tokenGap", "the duration is negative", "0s or more")
	}
	if e.pool.MaxQueue < 1 {
		e.fault("maxQueue", "the queue has no room", "1 or more")
	}
	checkShares(e)
}

func checkPoolKind(e *entry) {
	switch e.pool.Kind {
	case EnginePool:
		if e.pool.Model == "" {
			e.fault("model", "a pool of engines needs a model", "")
		}
		if len(e.pool.NonIdempotentPaths) > 0 {
			e.fault("nonIdempotentPaths", "only a pool of services has paths", "")
		}
	case ServicePool:
		if e.pool.Model != "" {
			e.fault("model", "a pool of services has no model", "")
		}
		checkPaths(e)
	default:
		e.fault("kind", "unknown kind "+quote(string(e.pool.Kind)), allowedKinds)
	}
}

func checkPaths(e *entry) {
	for i, path := range e.pool.NonIdempotentPaths {
		if !strings.HasPrefix(path, "/") {
			e.fault(strictjson.Path("nonIdempotentPaths").Index(i), "the path does not begin with a slash", "a path such as \"/filings\"")
		}
	}
}

func checkPolicy(e *entry) {
	switch e.pool.Policy {
	case "", PolicyPredictive, PolicyRoundRobin, PolicyLeastReportedLoad, PolicyLateBinding:
	default:
		e.fault("policy", "unknown policy "+quote(string(e.pool.Policy)), allowedPolicies)
	}
}

func checkShares(e *entry) {
	for _, team := range slices.Sorted(maps.Keys(e.pool.Shares)) {
		share := e.pool.Shares[team]
		if share <= 0 || share > maxShare {
			e.fault(strictjson.Path("shares").Field(string(team)), "the share is out of range", "more than 0, at most 1000")
		}
	}
}
