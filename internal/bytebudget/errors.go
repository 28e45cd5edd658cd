package bytebudget

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("bytebudget")

	// ErrExhausted means that the budget is used up.
	ErrExhausted = Error.New("the memory for buffers is used up")
)
