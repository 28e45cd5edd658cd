package config

import "github.com/zeebo/errs"

// Error is the class of all errors of this package that are not findings.
var Error = errs.Class("config")
