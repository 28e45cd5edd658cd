// Package metrics holds the names of all metrics and opens the scope that
// reports them in the Prometheus format.
package metrics
