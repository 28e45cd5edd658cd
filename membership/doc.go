// Package membership tracks which hosts of the system are alive. Its inputs are
// heartbeats, direct evidence such as a refused connection, and the platform's host
// list, which lags behind.
package membership
