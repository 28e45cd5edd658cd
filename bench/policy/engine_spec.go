package policy

import (
	"fmt"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// engineSpec is one engine of a shape.
type engineSpec struct {
	name       ident.Target
	pool       ident.Pool
	dataCentre ident.DataCentre
	speed      float64
}

// rate returns the requests per second that the engine serves with all slots in use.
func (e engineSpec) rate(meanPrompt, meanTokens float64) float64 {
	step := baseGapMs / 1000 / e.speed * (1 + gapGrowth*(slots-1))
	return 1 / (meanTokens*step/slots + meanPrompt/(basePrefillRate*e.speed))
}

func (e engineSpec) target() testbed.TargetSpec {
	return testbed.EngineSpec(e.name, e.pool, e.dataCentre, slots,
		"--decode-gap", fmt.Sprintf("%gms", baseGapMs/e.speed),
		"--prefill-rate", fmt.Sprint(basePrefillRate*e.speed),
		"--gap-growth", fmt.Sprint(gapGrowth))
}
