// Package bytebudget bounds the sum of the bytes that concurrent requests buffer.
//
// The first bytes of each request are free, so that small ones pass while large ones
// use up the budget.
package bytebudget
