package schedule

import "github.com/cornelyard/cornelyard/ident"

// PrefixLocation says that a target has processed a prompt block.
type PrefixLocation struct {
	Hash   uint64
	Target ident.Target
}
