// Package retrybudget limits the retries that all hosts together send to the targets of
// a pool, so that failures do not multiply the load. Each host may use an equal share of
// the fixed allowance and a ratio of its own requests. These shares add up to the
// overall budget without any communication between the hosts, also while hosts restart and
// their number changes.
package retrybudget
