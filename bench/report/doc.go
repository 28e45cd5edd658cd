// Package report writes the results of measurements.
package report
