// Package chatclient calls hosts as their callers do, for chat completions and
// for plain services, and shows all that a caller sees of an answer. Tests and
// measurements use it.
package chatclient
