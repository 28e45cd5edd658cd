// Package standin contains what the stand-ins for the platform, the targets and the
// network share. A stand-in is a small test server: it serves its protocol on one
// listener and accepts fault injection on another, the control listener. Only tests,
// the bench and the dev command use stand-ins.
package standin
