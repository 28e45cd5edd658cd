// Package retrybudget bounds the repeats that all hosts together send to the
// targets of a pool, so that failures do not multiply the load. Each host has an
// equal share of the fixed allowance and a part in proportion to its own requests,
// so the shares add up without the hosts talking.
package retrybudget
