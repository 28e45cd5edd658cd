// Package membership tracks which hosts of the system are alive, from
// heartbeats, direct evidence such as a refused connection, and the platform's
// lagging host list.
package membership
