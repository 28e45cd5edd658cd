package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/internal/readiness"
)

// printInstructions waits until every host is ready and prints how to use the
// system. It returns when ctx ends.
func (s *sampleSystem) printInstructions(ctx context.Context) error {
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	first := s.hosts[0]
	s.printf("cornelyard dev: two hosts serve; Ctrl-C is a graceful stop.\n\n")
	for _, host := range s.hosts {
		s.printf("  %s  callers http://%s  operators http://%s\n", host.Host, host.CallerAddress, host.OperatorAddress)
	}
	for _, target := range s.targets {
		s.printf("  target %s  http://%s  faults http://%s\n", target.declaration.Name, target.declaration.Address, target.controlAddress)
	}
	s.printf("  platform %s\n\n", s.platformURL)
	s.printf("  caller token    %s\n  team token      %s\n  operator token  %s\n\n", CallerToken, TeamToken, OperatorToken)
	s.printf("Try:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"Check code 4711.\"}]}'\n",
		first.CallerAddress, CallerToken, model)
	s.printf("\nIn another terminal:\n\n  CORNELYARD_OPERATOR=%s CORNELYARD_TOKEN=%s go run ./cmd/cornelyard status\n",
		first.OperatorAddress, OperatorToken)
	<-ctx.Done()
	return nil
}

func (s *sampleSystem) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, format, arguments...)
}

func (s *sampleSystem) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, host := range s.hosts {
		for !readiness.Check(ctx, host.CallerAddress) {
			select {
			case <-ctx.Done():
				return Error.New("host %s is not ready in time", host.Host)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
