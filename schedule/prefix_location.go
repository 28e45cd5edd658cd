package schedule

import "github.com/cornelyard/cornelyard/ident"

// PrefixLocation says that a target has processed the beginning of a prompt.
type PrefixLocation struct {
	// Hash identifies the beginning. In pools whose memory is not known, and from hosts of builds
	// that send no lengths, it is the hash of its last block alone.
	Hash   uint64
	Target ident.Target
	// Tokens is the length of the last block of the beginning, or zero if it is not known.
	Tokens int
}
