// Package operatortest runs the operator listeners of several hosts in one process,
// with a stand-in platform and an in-memory network, for tests.
package operatortest
