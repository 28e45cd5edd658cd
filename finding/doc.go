// Package finding describes faults in user input with their location, so that all
// faults can be collected and reported together.
package finding
