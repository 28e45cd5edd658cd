// Package usage records what each team used of each pool and target, and the outcome of
// its requests.
//
// Each process counts from its start under its host's incarnation. An Aggregator keeps
// the newest report of each incarnation of each host. Merging is therefore idempotent:
// sums over hosts count nothing twice, however often a report arrives.
package usage
