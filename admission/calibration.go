package admission

// calibrationDecay is the factor by which each observation reduces the weight
// of earlier ones.
const calibrationDecay = 0.99

// calibration corrects expected running times by the ratio of past actual to
// expected ones.
type calibration struct {
	expected float64
	actual   float64
}

// observe records the expected and actual seconds of one request.
func (c *calibration) observe(expected, actual float64) {
	c.expected = calibrationDecay*c.expected + expected
	c.actual = calibrationDecay*c.actual + actual
}

// factor returns the ratio of actual to expected times, or 1 before the first
// observation.
func (c *calibration) factor() float64 {
	if c.expected == 0 {
		return 1
	}
	return c.actual / c.expected
}
