package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// versionCommand shows the version of this build.
type versionCommand struct{}

// Register implements Command.
func (c *versionCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("version", "Show which build this is. Needs no host.")
}

// Run implements Command.
func (c *versionCommand) Run(_ context.Context, s *Session) error {
	b := readBuildInfo()
	if s.JSON() {
		return s.WriteJSON(b)
	}
	s.Printf("cornelyard %s %s (%s, %s)\n", b.Version, b.Revision, b.Go, b.Platform)
	return nil
}
