package gateway

import (
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/retrybudget"
)

// Reload applies changed settings, or logs err if they could not be read or are invalid;
// the previous settings then stay in force. The stop time and the retry budget take
// effect immediately, addresses only at the next start.
func (g *Gateway) Reload(c *config.Gateway, err error) {
	if err != nil {
		g.logger.Error().Str(eventlog.FieldEvent, eventlog.EventSettingsReloaded).Err(err).Msg("Reloading the settings failed; the previous settings stay in force.")
		return
	}
	g.reloaded.Store(c)
	g.state.retryBudget.SetLimits(time.Now(), retryLimits(c))
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventSettingsReloaded).Msg("Changed settings applied.")
}

func retryLimits(c *config.Gateway) retrybudget.Limits {
	return retrybudget.Limits{
		Ratio:     c.RetryBudget.Ratio,
		Allowance: c.RetryBudget.Allowance,
		Window:    c.RetryBudget.Window.Std(),
	}
}

// stopTimeout returns the time from the stop signal to the forced exit.
func (g *Gateway) stopTimeout() time.Duration { return g.reloaded.Load().StopTime.Std() }
