package schedule

import "github.com/cornelyard/cornelyard/quarantine"

// unconfirmedCrash is a possible crash of a target that broke off a request.
type unconfirmedCrash struct {
	crash quarantine.Crash
	// accepts says that the target accepted a connection afterwards.
	accepts bool
}
