package admission

// calibrationForget is the factor that each observation puts on the earlier ones.
const calibrationDecay = 0.99

// calibration corrects the expected time in service by what such expectations
// turned out to be.
type calibration struct {
	expected float64
	actual   float64
}

// observe takes in the expected and the actual seconds of one request.
func (c *calibration) observe(expected, actual float64) {
	c.expected = calibrationDecay*c.expected + expected
	c.actual = calibrationDecay*c.actual + actual
}

// factor returns the ratio of actual to expected times.
func (c *calibration) factor() float64 {
	if c.expected == 0 {
		return 1
	}
	return c.actual / c.expected
}
