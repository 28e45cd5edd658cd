// Package test holds the tests that run the system as real processes.
package test
