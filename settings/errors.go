package settings

import "github.com/zeebo/errs"

// Error is the class of this package's errors that have no type of their own.
var Error = errs.Class("settings")
