package cli

import "github.com/cornelyard/cornelyard/finding"

// checkResult is the JSON output of the check command.
type checkResult struct {
	// Errors are the faults for which gateways reject the configuration.
	Errors finding.List `json:"errors"`
	// Warnings are problems of a configuration that gateways accept.
	Warnings finding.List `json:"warnings"`
	// Outdated is set if the version is not above the one in force, so that gateways ignore
	// the configuration.
	Outdated bool `json:"outdated"`
	// Changes describes what differs from the configuration in force.
	Changes []string `json:"changes,omitempty"`
}

func (r checkResult) print(s *Session) error {
	if s.JSON() {
		if err := s.WriteJSON(r); err != nil {
			return err
		}
	} else {
		r.printText(s)
	}
	if len(r.Errors) > 0 || len(r.Warnings) > 0 || r.Outdated {
		return &exitError{status: ExitFindings}
	}
	return nil
}

func (r checkResult) printText(s *Session) {
	for _, f := range r.Errors {
		s.Printf("error: %s\n", f)
	}
	for _, f := range r.Warnings {
		s.Printf("warning: %s\n", f)
	}
	if r.Outdated {
		s.Printf("error: the version is not above the one in force, so gateways ignore this configuration\n")
	}
	for _, change := range r.Changes {
		s.Printf("%s\n", change)
	}
	if len(r.Errors) == 0 && len(r.Warnings) == 0 && !r.Outdated {
		s.Printf("the configuration is valid\n")
	}
}
