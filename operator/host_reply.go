package operator

import "github.com/cornelyard/cornelyard/ident"

// hostReply is what one host replied.
type hostReply[Reply any] struct {
	host  ident.Host
	reply Reply
}
