package admission

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time after which past usage counts half.
	usageHalfLife = time.Minute
	// maxHalfLives bounds the exponent of growth.
	maxHalfLives = 64
)

// usageClock implements forward decay for the usage of a tier's teams: instead
// of shrinking past usage it gives new usage a growing weight, so that the
// order of teams does not change as time passes.
type usageClock struct {
	reference time.Time
	// virtualTime is the decayed usage of the team served last.
	virtualTime float64
}

func newUsageClock(now time.Time) *usageClock { return &usageClock{reference: now} }

// growth returns the weight of usage at now.
func (c *usageClock) growth(now time.Time) float64 {
	return math.Exp2(now.Sub(c.reference).Seconds() / usageHalfLife.Seconds())
}

func (c *usageClock) needsRescale(now time.Time) bool {
	return now.Sub(c.reference) > maxHalfLives*usageHalfLife
}

// rescale moves the reference to now and returns the factor to apply to every
// decayedUsage.
func (c *usageClock) rescale(now time.Time) float64 {
	factor := 1 / c.growth(now)
	c.reference = now
	c.virtualTime *= factor
	return factor
}
