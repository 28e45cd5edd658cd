// Package test holds the end-to-end tests, which run the system as real processes.
package test
