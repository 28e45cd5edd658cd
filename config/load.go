package config

import (
	"os"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// Load reads the settings file of a host and applies the defaults. If the file has
// faults, the error is a finding.List with all of them.
func Load(path string) (*Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	host, findings := Parse(path, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return host, nil
}

// Parse decodes and validates the text of a host's settings file and returns all
// findings. The file name is used only in the findings.
func Parse(file string, data []byte) (*Host, finding.List) {
	var host Host
	findings := strictjson.Decode(file, data, &host)
	host = host.WithDefaults()
	c := &hostChecker{findingCollector{file: file, data: data, findings: findings}, host}
	c.check()
	return &host, c.findings
}
