// Package slopes measures how a host's processor time, memory and traffic grow
// with the hosts in the mesh, the teams, the targets, the queued requests, the
// streams, the tokens, the claims and the changes of settings.
//
// Each series runs real daemons against stand-ins and changes one quantity from
// point to point. A straight line through the points gives the slope.
package slopes
