// Package slopes measures how a host's CPU time, memory and traffic grow with the number
// of hosts, data centres, teams, targets and queued requests, and with the rates of
// requests, streams, tokens, claims and settings changes.
//
// Each series runs real daemons against stand-ins and varies one quantity from point to
// point. A linear fit through the points gives the slope.
package slopes
