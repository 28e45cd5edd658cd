// Package former builds former commits of this repository from its history, so that they can be
// run beside this build.
package former
