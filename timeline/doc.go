// Package timeline records what each process did, so that the rings of all
// hosts can be merged into one ordered account.
package timeline
