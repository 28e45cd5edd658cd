package config

import (
	"os"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// Load reads the settings file of a host and fills in the defaults. If anything
// in it is wrong, the error is a finding.List with every fault.
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

// Parse reads the text of a settings file and returns every finding. The file
// is only named in them.
func Parse(file string, data []byte) (*Host, finding.List) {
	var host Host
	findings := strictjson.Decode(file, data, &host)
	host = host.WithDefaults()
	c := &hostChecker{findingCollector{file: file, data: data, findings: findings}, host}
	c.check()
	return &host, c.findings
}
