// Package routing predicts how long a request takes on each target of a pool
// and selects a target for it.
//
// Predictions are learned from the pool's own response streams. Load reports and
// cached-prefix records are only hints: an old report is ignored, and the least
// recently used records are evicted. The package does no I/O and never reads the
// clock; its types are not safe for concurrent use.
package routing
