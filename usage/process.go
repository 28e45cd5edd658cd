package usage

import "github.com/cornelyard/cornelyard/ident"

// process identifies one incarnation of a host.
type process struct {
	host        ident.Host
	incarnation uint64
}
