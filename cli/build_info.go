package cli

import (
	"runtime"
	"runtime/debug"
)

// buildInfo is the JSON output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
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
