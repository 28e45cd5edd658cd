// Package metrics defines the names of all metrics and creates the scope that reports
// them in the Prometheus format.
package metrics
