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

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 24 * time.Hour

const bearerScheme = "bearer"

// identity holds the caller's team, tier and deadline.
type identity struct {
	team     ident.Team
	tier     ident.Tier
	rank     int
	deadline time.Time
}

// identify authenticates the caller and reads its tier and deadline from the
// headers.
func identify(s *settings.Snapshot, h http.Header, now time.Time) (identity, *outcome.Refusal) {
	team, refusal := callerTeam(s, h)
	if refusal != nil {
		return identity{}, refusal
	}
	tier, refusal := callerTier(s, h, team)
	if refusal != nil {
		return identity{}, refusal
	}
	timeout, refusal := callerTimeout(h, tier)
	if refusal != nil {
		return identity{}, refusal
	}
	return identity{team: team.Name, tier: tier.Name, rank: tier.Rank, deadline: now.Add(timeout)}, nil
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
	if requested := h.Get(headerTier); requested != "" {
		name = ident.Tier(requested)
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

// callerTimeout returns how long the caller waits for the complete response.
func callerTimeout(h http.Header, tier *settings.Tier) (time.Duration, *outcome.Refusal) {
	text := h.Get(headerDeadline)
	if text == "" {
		return tierTimeout(tier), nil
	}
	limit := maxDeadline.Milliseconds()
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > limit {
		message := fmt.Sprintf("%s must be a whole number from 1 to %d", headerDeadline, limit)
		return 0, outcome.Refuse(outcome.BadRequest, message, 0)
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

func tierTimeout(tier *settings.Tier) time.Duration {
	if tier.DefaultDeadline <= 0 {
		return defaultDeadline
	}
	return tier.DefaultDeadline.Std()
}
