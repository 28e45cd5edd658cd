package cli

import "github.com/cornelyard/cornelyard/operator/api"

// reportUnreachable prints the hosts that could not be reached.
func reportUnreachable(s *Session, hosts ...api.Unreachable) {
	for _, host := range hosts {
		s.PrintErrf("not reached: %s: %s\n", host.Host, host.Reason)
	}
}
