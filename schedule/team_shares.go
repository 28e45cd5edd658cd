package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
)

// scarcityHold is how long capacity counts as scarce after the last request that could not start
// in time. It bridges the time between two such requests at one of many hosts.
const scarcityHold = time.Second

// teamShares divides the capacity of a pool among teams while it is scarce.
type teamShares struct {
	// enabled says that capacity is ever shared among teams.
	enabled bool
	// rated says that requests are admitted by rates while capacity is scarce.
	rated    bool
	accounts *fairshare.Accounts
	// shortageUntil is until when this host counts the capacity as scarce because requests of
	// its own could not start in time, and peerShortageUntil the same for other hosts.
	shortageUntil     time.Time
	peerShortageUntil time.Time
	// inForce says that start tags are in use.
	inForce bool
	// peersChanged says that the reports of other hosts have changed.
	peersChanged bool
}

func newTeamShares(enabled bool) teamShares {
	return teamShares{enabled: enabled, accounts: fairshare.NewAccounts()}
}

// recordShortage records that a request of this host can't start in time.
func (t *teamShares) recordShortage(now time.Time) { t.shortageUntil = now.Add(scarcityHold) }

// short reports whether requests of this host could not start in time lately.
func (t *teamShares) short(now time.Time) bool { return now.Before(t.shortageUntil) }

// scarce reports whether requests of any host could not start in time lately.
func (t *teamShares) scarce(now time.Time) bool {
	return (t.enabled || t.rated) && (t.short(now) || now.Before(t.peerShortageUntil))
}

// shareKey returns the account of a request.
func shareKey(r *Request) fairshare.Key {
	return fairshare.Key{TeamRank: r.Rank.Team, RouteRank: r.Rank.Route, Team: r.Team}
}
