package config

import "github.com/zeebo/errs"

// Error is the class of this package's errors other than findings.
var Error = errs.Class("config")
