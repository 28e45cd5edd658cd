package settings

import "github.com/cornelyard/cornelyard/ident"

// poolLocation identifies the part of a pool in one data centre.
type poolLocation struct {
	pool ident.Pool
	dc   ident.DataCentre
}
