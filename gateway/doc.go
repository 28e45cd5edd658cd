// Package gateway assembles the components of a host on the users' platform. They run as
// actors of an oklog/run group: the first one that returns stops the others.
package gateway
