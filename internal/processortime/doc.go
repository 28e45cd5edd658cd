// Package processortime measures how much processor time processes get on a busy machine, so that a test
// that fails can say whether it was starved.
package processortime
