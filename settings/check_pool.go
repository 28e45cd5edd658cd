package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// maxShare is the largest weight that a pool may give a team.
const maxShare = 1000

const (
	allowedKinds    = "engine, service"
	allowedPolicies = "predictive, round-robin, least-reported-load, late-binding"
)

// checkPool adds the findings of a pool that do not depend on other documents.
func checkPool(e *treeEntry) {
	checkPoolKind(e)
	checkPolicy(e)
	if e.pool.TokenGap < 0 {
		e.addFinding("tokenGap", "the duration is negative", "0s or more")
	}
	if e.pool.MaxQueue < 1 {
		e.addFinding("maxQueue", "the queue has no room", "1 or more")
	}
	checkShares(e)
}

func checkPoolKind(e *treeEntry) {
	switch e.pool.Kind {
	case EnginePool:
		if e.pool.Model == "" {
			e.addFinding("model", "a pool of engines needs a model", "")
		}
		if len(e.pool.NonIdempotentPaths) > 0 {
			e.addFinding("nonIdempotentPaths", "only a pool of services has paths", "")
		}
	case ServicePool:
		if e.pool.Model != "" {
			e.addFinding("model", "a pool of services has no model", "")
		}
		checkNonIdempotentPaths(e)
	default:
		e.addFinding("kind", "unknown kind "+quote(string(e.pool.Kind)), allowedKinds)
	}
}

func checkNonIdempotentPaths(e *treeEntry) {
	for i, path := range e.pool.NonIdempotentPaths {
		if !strings.HasPrefix(path, "/") {
			e.addFinding(strictjson.Path("nonIdempotentPaths").Index(i), "the path does not begin with a slash", "a path such as \"/filings\"")
		}
	}
}

func checkPolicy(e *treeEntry) {
	switch e.pool.Policy {
	case "", PolicyPredictive, PolicyRoundRobin, PolicyLeastReportedLoad, PolicyLateBinding:
	default:
		e.addFinding("policy", "unknown policy "+quote(string(e.pool.Policy)), allowedPolicies)
	}
}

func checkShares(e *treeEntry) {
	for _, team := range slices.Sorted(maps.Keys(e.pool.Shares)) {
		share := e.pool.Shares[team]
		if share <= 0 || share > maxShare {
			e.addFinding(strictjson.Path("shares").Field(string(team)), "the share is out of range", "more than 0, at most 1000")
		}
	}
}
