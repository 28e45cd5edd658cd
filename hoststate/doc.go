// Package hoststate replicates soft state between the hosts in UDP datagrams: each
// host's requests on the targets, its queues and its quota usage per team.
//
// Up to a limit on the number of hosts, every host sends its state to all others (full
// mesh). Above it, a host sends its state only within its own data centre, and sends
// the aggregate of that data centre to some of the hosts in other data centres.
//
// A message holds the sender's complete state, so the next one makes up for a lost
// one. Observations and demands are the exception: a receiver keeps them until it
// receives new ones. A host sends soon after a change and at least once per heartbeat
// interval. There is no consensus: each host acts on the last state that it received.
package hoststate
