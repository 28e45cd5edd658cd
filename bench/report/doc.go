// Package report writes what a measurement gave.
package report
