package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// sourceState is what is known about a source.
type sourceState struct {
	// hosts is the number of hosts whose usage it covers.
	hosts        int
	lastReportAt time.Time
	// limitedUntil is one window after the end of a long silence.
	limitedUntil time.Time
	// stale says that its reports were missing when that was last determined.
	stale bool
	// accounts holds the accounts of the teams that a host has reported.
	accounts map[ident.Team]*accountSource
}

// accountOf returns the account of a team that the source has reported, or nil.
func (s *sourceState) accountOf(team ident.Team) *accountSource {
	if s == nil {
		return nil
	}
	return s.accounts[team]
}

// addAccount records the account of a team, if the source is known, and returns it.
func (s *sourceState) addAccount(team ident.Team, a *accountSource) *accountSource {
	if s == nil {
		return a
	}
	if s.accounts == nil {
		s.accounts = make(map[ident.Team]*accountSource)
	}
	s.accounts[team] = a
	return a
}
