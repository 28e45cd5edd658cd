// Package chatclient calls hosts as their callers do, and tells all that a
// caller can see of an answer. Tests and measurements use it.
package chatclient
