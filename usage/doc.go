// Package usage accounts for what each team used of each pool and target, and
// for what became of its requests.
//
// Each process counts from its start under its host's incarnation. A Ledger
// keeps the newest report of each incarnation of each host, so that sums over
// hosts never count anything twice, however often reports arrive.
package usage
