// Package configcheck finds faults in a configuration that is valid but doesn't do what its
// author probably wants: entries that no request can match, and limits that contradict each
// other. It also lists what differs between two configurations. It applies the rules of
// package route, by which a gateway serves.
package configcheck
