package testbed

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/readiness"
)

const pollInterval = 10 * time.Millisecond

// Host is the process of a daemon.
type Host struct {
	*Process
	// Settings is the content of the host's settings file.
	Settings config.Host
	// onStart is called after each start of the process.
	onStart func(*Host) error
}

// ID returns the host's identifier.
func (h *Host) ID() ident.Host { return h.Settings.Host }

// CallerURL returns the base URL for callers.
func (h *Host) CallerURL() string { return "http://" + h.Settings.CallerAddress }

// OperatorURL returns the base URL for operators.
func (h *Host) OperatorURL() string { return "http://" + h.Settings.OperatorAddress }

// CallerClient returns a client that calls the host with the caller token.
func (h *Host) CallerClient(token string) *chatclient.Client {
	return &chatclient.Client{BaseURL: h.CallerURL(), Token: token}
}

// Start starts the daemon. It can be called again after the process has ended.
func (h *Host) Start() error {
	if err := h.Process.Start(); err != nil {
		return err
	}
	return h.onStart(h)
}

// WaitReady waits until the daemon reports ready.
func (h *Host) WaitReady(ctx context.Context) error {
	return waitUntil(ctx, h.Name+" is ready", func() bool { return readiness.Check(ctx, h.Settings.CallerAddress) })
}

func (h *Host) writeSettings(path string) error {
	data, err := json.MarshalIndent(h.Settings, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, data, 0o600))
}

// waitUntil polls the condition until it holds or ctx is done.
func waitUntil(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("timed out waiting until %s", what)
		}
	}
	return nil
}
