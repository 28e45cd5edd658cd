package cli

import "github.com/zeebo/errs"

// Error is the class of the errors that have no class of their own.
var Error = errs.Class("cornelyard")
