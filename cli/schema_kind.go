package cli

import (
	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/settings"
)

// schemaKind is a kind of document: its name and a value of its type.
type schemaKind struct {
	name  string
	value any
}

func schemaKinds() []schemaKind {
	return []schemaKind{
		{name: "tier", value: settings.Tier{}},
		{name: "pool", value: settings.Pool{}},
		{name: "target", value: settings.Target{}},
		{name: "team", value: settings.Team{}},
		{name: "host", value: config.Host{}},
	}
}

func kindNames() []string {
	var names []string
	for _, kind := range schemaKinds() {
		names = append(names, kind.name)
	}
	return names
}
