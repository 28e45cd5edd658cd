package cli

import "github.com/zeebo/errs"

// Error is the class of errors of this package without a more specific type.
var Error = errs.Class("cornelyard")
