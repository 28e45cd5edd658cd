// Package streamversion knows which software version of which pool began a stream.
//
// A stream may go on only at the version that began it. Each host records where its streams
// began and reports it to the other hosts, so that a caller can take its stream up at any of them.
// Of a pool in which only one version has served for longer than a stream can last, that
// version began every stream.
package streamversion
