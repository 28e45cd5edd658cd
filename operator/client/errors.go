package client

import "github.com/zeebo/errs"

// Error is the class of the errors of requests that cannot be made and of
// answers that cannot be read.
var Error = errs.Class("client")
