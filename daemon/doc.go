// Package daemon assembles and runs the components of an entry host. Each
// component is an actor of an oklog/run group; the first that returns stops the
// others.
package daemon
