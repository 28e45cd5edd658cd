package operator

import "github.com/cornelyard/cornelyard/ident"

// answer is what one host replied.
type answer[Reply any] struct {
	host  ident.Host
	reply Reply
}
