package client

import "github.com/zeebo/errs"

// Error is the class of errors about requests that cannot be built and responses
// that cannot be decoded.
var Error = errs.Class("client")
