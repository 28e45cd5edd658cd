// Package timeline records the events of each process in a ring buffer. Hybrid
// logical timestamps allow the events of all hosts to be merged in causal order.
package timeline
