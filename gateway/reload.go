package gateway

import (
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/retrybudget"
)

// Reload takes in the settings file after a change, or why it cannot be read. The
// time to stop and the retry budget change at once; addresses stay until the next
// start. Settings with a fault are not used.
func (g *Gateway) Reload(c *config.Gateway, err error) {
	if err != nil {
		g.logger.Error().Str(eventlog.FieldEvent, eventlog.EventSettingsReloaded).Err(err).Msg("Changed settings are not used.")
		return
	}
	g.reloaded.Store(c)
	g.knowledge.retries.SetLimits(retryLimits(c))
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventSettingsReloaded).Msg("Changed settings are in force.")
}

func retryLimits(c *config.Gateway) retrybudget.Limits {
	return retrybudget.Limits{
		Ratio:     c.RetryBudget.Ratio,
		Allowance: c.RetryBudget.Allowance,
		Window:    c.RetryBudget.Window.Std(),
	}
}

// stopTime returns the time from the request to stop to the forced end.
func (g *Gateway) stopTime() time.Duration { return g.reloaded.Load().StopTime.Std() }
