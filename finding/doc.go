// Package finding describes faults in input with their place, so that all of
// them can be collected and reported together.
package finding
