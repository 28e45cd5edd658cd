package usage

import "github.com/cornelyard/cornelyard/ident"

// Options identifies the process that counts.
type Options struct {
	Host        ident.Host
	Incarnation uint64
}
