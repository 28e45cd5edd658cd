package cli

import (
	"encoding/json"
	"fmt"

	"github.com/cornelyard/cornelyard/operator/client"
)

// Session holds the environment and global flags of one run of a command.
type Session struct {
	Environment
	flags globalFlags
}

// JSON reports whether the output format is JSON.
func (s *Session) JSON() bool { return s.flags.output == formatJSON }

// Printf prints to the standard output.
func (s *Session) Printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Stdout, format, arguments...)
}

// PrintErrf prints to the standard error output.
func (s *Session) PrintErrf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Stderr, format, arguments...)
}

// WriteJSON writes the value as JSON to the standard output.
func (s *Session) WriteJSON(value any) error {
	encoder := json.NewEncoder(s.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return Error.Wrap(encoder.Encode(value))
}

// newClient returns a client of the hosts that the flags or the environment name.
// The caller must close it.
func (s *Session) newClient() (*client.Client, error) {
	addresses, err := s.flags.addresses(s.Getenv)
	if err != nil {
		return nil, err
	}
	token, err := s.flags.token(s.Getenv)
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Addresses: addresses, Token: token, Timeout: s.flags.timeout}), nil
}
