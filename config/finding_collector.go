package config

import (
	"net/netip"
	"slices"
	"strconv"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
	"github.com/cornelyard/cornelyard/settings"
)

// findingCollector collects the findings of one settings file.
type findingCollector struct {
	file     string
	data     []byte
	findings finding.List
}

func (c *findingCollector) add(path strictjson.Path, message, allowed string) {
	if c.hasFinding(path) {
		return
	}
	position := strictjson.Locate(c.data, path)
	c.findings = append(c.findings, finding.Finding{
		File:    c.file,
		Path:    string(path),
		Line:    position.Line,
		Column:  position.Column,
		Message: message,
		Allowed: allowed,
	})
}

func (c *findingCollector) hasFinding(path strictjson.Path) bool {
	return slices.ContainsFunc(c.findings, func(f finding.Finding) bool {
		return f.Path == string(path) || f.Path == ""
	})
}

func (c *findingCollector) checkName(path strictjson.Path, name string) {
	if !settings.ValidName(name) {
		c.add(path, "the name "+strconv.Quote(name)+" is not allowed", allowedName)
	}
}

func (c *findingCollector) checkAddress(path strictjson.Path, address string) {
	if _, ok := parseAddress(address); !ok {
		c.add(path, strconv.Quote(address)+" is not an address", allowedAddress)
	}
}

func (c *findingCollector) checkLogLevel(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.add("logLevel", "unknown level "+strconv.Quote(level), allowedLevels)
	}
}

func parseAddress(address string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(address)
	return parsed, err == nil && parsed.Port() != 0
}
