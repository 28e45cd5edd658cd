package operator

import "github.com/cornelyard/cornelyard/ident"

// hostReply is the reply of one host.
type hostReply[Reply any] struct {
	host  ident.Host
	reply Reply
}
