package target

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("target")

	errStartExpired = Error.New("the right to begin the dispatch has expired")
	errCancelled    = Error.New("the dispatch was given up before it began")
	errRetired      = Error.New("the target announced the end of the connection")
	errUnassigned   = Error.New("the connection is not handed to a dispatch")
	errTooLarge     = Error.New("the answer exceeds the limit")
)
