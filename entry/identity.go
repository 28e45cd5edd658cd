package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

// maxDeadline bounds the deadlines that callers may ask for.
const maxDeadline = 24 * time.Hour

const bearerScheme = "bearer"

// identity is who calls, in which tier and until when.
type identity struct {
	team     ident.Team
	tier     ident.Tier
	rank     int
	deadline time.Time
}

// identify reads the caller's headers.
func identify(s *settings.Snapshot, h http.Header, now time.Time) (identity, *outcome.Refusal) {
	team, refusal := callerTeam(s, h)
	if refusal != nil {
		return identity{}, refusal
	}
	tier, refusal := callerTier(s, h, team)
	if refusal != nil {
		return identity{}, refusal
	}
	patience, refusal := callerTimeout(h, tier)
	if refusal != nil {
		return identity{}, refusal
	}
	return identity{team: team.Name, tier: tier.Name, rank: tier.Rank, deadline: now.Add(patience)}, nil
}

func callerTeam(s *settings.Snapshot, h http.Header) (*settings.Team, *outcome.Refusal) {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, bearerScheme) || token == "" {
		return nil, outcome.Refuse(outcome.Unauthorized, "a bearer token is required", 0)
	}
	name, ok := s.CallerTeam(settings.TokenHash(token))
	team := s.Teams[name]
	if !ok || team == nil {
		return nil, outcome.Refuse(outcome.Unauthorized, "the bearer token is unknown", 0)
	}
	return team, nil
}

func callerTier(s *settings.Snapshot, h http.Header, team *settings.Team) (*settings.Tier, *outcome.Refusal) {
	name := team.DefaultTier
	if asked := h.Get(headerTier); asked != "" {
		name = ident.Tier(asked)
	}
	tier := s.Tiers[name]
	if tier == nil {
		return nil, outcome.Refuse(outcome.TierForbidden, fmt.Sprintf("there is no tier %q", name), 0)
	}
	if len(tier.Teams) > 0 && !slices.Contains(tier.Teams, team.Name) {
		return nil, outcome.Refuse(outcome.TierForbidden, fmt.Sprintf("the team may not use tier %q", name), 0)
	}
	return tier, nil
}

// callerTimeout returns how long the caller waits for the whole answer.
func callerTimeout(h http.Header, tier *settings.Tier) (time.Duration, *outcome.Refusal) {
	text := h.Get(headerDeadline)
	if text == "" {
		return tierTimeout(tier), nil
	}
	limit := maxDeadline.Milliseconds()
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > limit {
		message := fmt.Sprintf("%s must be a whole number from 1 to %d", headerDeadline, limit)
		return 0, outcome.Refuse(outcome.BadRequest, message, 0)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func tierTimeout(tier *settings.Tier) time.Duration {
	if tier.DefaultDeadline <= 0 {
		return defaultDeadline
	}
	return tier.DefaultDeadline.Std()
}
