package cli

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// versionCommand tells which build this is.
type versionCommand struct{}

// build is the JSON output.
type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

// Register implements Command.
func (c *versionCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("version", "Show which build this is. Needs no host.")
}

// Run implements Command.
func (c *versionCommand) Run(_ context.Context, s *Session) error {
	b := readBuild()
	if s.JSON() {
		return s.WriteJSON(b)
	}
	s.Printf("cornelyard %s %s (%s, %s)\n", b.Version, b.Revision, b.Go, b.Platform)
	return nil
}

func readBuild() build {
	b := build{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			b.Revision = setting.Value
		}
	}
	return b
}
