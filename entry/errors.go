package entry

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("entry")

	errSlowCaller = Error.New("caller did not read its response in time; stopping the request")
)
