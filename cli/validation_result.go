package cli

import "github.com/cornelyard/cornelyard/finding"

// validationResult is the JSON output of the validate command.
type validationResult struct {
	Documents int          `json:"documents"`
	Hosts     int          `json:"hosts"`
	Findings  finding.List `json:"findings"`
}

func (v validationResult) print(s *Session) error {
	if !s.JSON() {
		if err := v.Findings.Err(); err != nil {
			return err
		}
		s.Printf("%d documents and %d settings files are valid\n", v.Documents, v.Hosts)
		return nil
	}
	if err := s.WriteJSON(v); err != nil {
		return err
	}
	if len(v.Findings) > 0 {
		return &exitError{status: ExitFindings}
	}
	return nil
}

// addFile counts a settings file and adds the findings that loading it returned.
// It returns any other error.
func (v *validationResult) addFile(err error) error {
	findings, isFindings := err.(finding.List)
	if err != nil && !isFindings {
		return err
	}
	v.Hosts++
	v.Findings = append(v.Findings, findings...)
	return nil
}
