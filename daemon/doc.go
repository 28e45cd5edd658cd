// Package daemon puts the parts of one host together. Each duty is an actor of
// an oklog/run group; the first that ends stops the others.
package daemon
