// Package exitstatus holds the exit statuses that the daemons share.
package exitstatus

import (
	"fmt"
	"os"
)

const (
	// Failure: the daemon failed while it ran.
	Failure = 1
	// Settings: the settings file cannot be read or has faults.
	Settings = 2
)

// Fail prints the message on standard error, its parts separated by spaces, and ends the
// process with the status.
func Fail(status int, message ...any) {
	fmt.Fprintln(os.Stderr, message...)
	os.Exit(status)
}
