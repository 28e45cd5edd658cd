package entry

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("entry")

	errSlowCaller = Error.New("the caller reads too slowly")
)
