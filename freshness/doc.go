// Package freshness decides how long a host waits for changes of the tables that it follows before it
// asks whether it has missed some.
//
// A host learns of a change by a call that the store holds until there is one. If the connection of
// that call goes silent, nothing tells the waiting host. So a table counts as current only up to the
// moment at which a response has shown that the host holds its newest rows. Such a moment is shared: a
// host that holds the same rows as another one is as current as that one, and need not ask itself. In a
// group of hosts that reach each other therefore one of them asks often, whatever their number; a host
// that reaches no other one asks by itself.
//
// The package does no I/O and takes the time as an argument.
package freshness
