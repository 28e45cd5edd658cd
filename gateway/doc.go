// Package gateway puts the parts of a host on the users' platform together. Each
// duty is an actor of an oklog/run group; the first that ends stops the others.
package gateway
