package cli

import (
	"errors"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/operator/api"
)

// ExitStatus is the exit status of a command.
type ExitStatus int

const (
	// ExitOK: the command succeeded.
	ExitOK ExitStatus = 0
	// ExitFailure: the command failed for a reason not listed below.
	ExitFailure ExitStatus = 1
	// ExitUsage: the command line is invalid.
	ExitUsage ExitStatus = 2
	// ExitFindings: the documents or settings failed validation.
	ExitFindings ExitStatus = 3
	// ExitConflict: the same documents were changed concurrently; nothing was
	// changed.
	ExitConflict ExitStatus = 4
	// ExitForbidden: the token is missing, unknown or not authorized.
	ExitForbidden ExitStatus = 5
	// ExitUnavailable: no host could be reached, or the platform is unavailable;
	// nothing was changed.
	ExitUnavailable ExitStatus = 6
	// ExitOutcomeUnknown: the change may or may not have been accepted.
	ExitOutcomeUnknown ExitStatus = 7
	// ExitRolloutIncomplete: the change is accepted, but not yet in force on every
	// reachable host.
	ExitRolloutIncomplete ExitStatus = 8
	// ExitDifferent: diff --exit-code found differences.
	ExitDifferent ExitStatus = 9
)

// exitStatusHelp is the list of exit statuses in the help text. The table in the
// operators' documentation has the same texts, which a test compares.
const exitStatusHelp = `Exit statuses:
  0  done
  1  failed for another reason than those below
  2  the command line is wrong
  3  the documents or settings have faults; nothing was changed
  4  others changed the same documents; nothing was changed
  5  the token is missing, unknown or does not allow this
  6  no host, or no platform, could be reached; nothing was changed
  7  the change may or may not have been accepted; send it again with --id
  8  the change is accepted, but not yet in force on every reachable host
  9  diff --exit-code found differences
`

// statusOf returns the exit status for an error.
func statusOf(err error) ExitStatus {
	var exit *exitError
	var usage *usageError
	var findings finding.List
	var refusal *api.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.status
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &refusal):
		return statusOfCode(refusal.Code)
	default:
		return ExitFailure
	}
}

func statusOfCode(code api.ErrorCode) ExitStatus {
	switch code {
	case api.Findings:
		return ExitFindings
	case api.Conflict:
		return ExitConflict
	case api.Unauthorized, api.Forbidden:
		return ExitForbidden
	case api.Unavailable:
		return ExitUnavailable
	case api.OutcomeUnknown:
		return ExitOutcomeUnknown
	default:
		return ExitFailure
	}
}
