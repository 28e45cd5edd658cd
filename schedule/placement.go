package schedule

import "github.com/cornelyard/cornelyard/ident"

// PrefixLocation says that a target computed a part of a prompt.
type PrefixLocation struct {
	Hash   uint64
	Target ident.Target
}
