// Package operatortest runs the operator listeners of several hosts in one
// process, over the stand-in platform and a network in memory, for tests.
package operatortest
