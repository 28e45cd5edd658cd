package target

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("target")

	errStartExpired = Error.New("dispatch did not start before its expiry; nothing was sent")
	errCancelled    = Error.New("dispatch was cancelled before anything was sent")
	errRetired      = Error.New("connection is retired and cannot be reused")
	errUnassigned   = Error.New("connection is not assigned to a dispatch")
	errTooLarge     = Error.New("response exceeds the size limit")
)
