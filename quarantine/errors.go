package quarantine

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("quarantine")
