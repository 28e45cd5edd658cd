// Package standin holds what the small stand-ins for the platform, the targets
// and the network share. Each stand-in serves its protocol on one listener and
// takes its faults on another, the control listener. Tests, the bench and the
// dev command use them; nothing in production does.
package standin
