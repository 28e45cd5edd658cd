package claim

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("claim")
)
