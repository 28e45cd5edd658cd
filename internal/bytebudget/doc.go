// Package bytebudget bounds the sum of the bytes that concurrent requests buffer.
//
// The first bytes of each request are free, so that small ones pass while large ones
// use up the budget. A reservation may be evicted for a more urgent one as long as its holder has
// not begun to work with it.
package bytebudget
