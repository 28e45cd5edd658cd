// Package harness holds the stand-ins of the review: the platform's store, replicas and clients as
// the users' pages describe them, and the gateways as processes.
package harness
