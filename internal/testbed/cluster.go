package testbed

import (
	"context"
	"net/http"
	"os"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage/restclient"
)

// OperatorToken is accepted by every host's operator listener.
const OperatorToken = "testbed-operator"

// Cluster is a running cluster.
type Cluster struct {
	Spec     Spec
	Binaries *Binaries
	Platform *Platform
	Hosts    []*Host
	Targets  map[ident.Target]*Target
	// PlatformClient calls the platform directly, not through the fault proxy.
	PlatformClient *restclient.Client

	dir   string
	proxy *proxy
}

// Start builds the programs if needed, starts the cluster and waits until every host
// is ready. The caller must call Stop, even after an error.
func Start(ctx context.Context, spec Spec) (*Cluster, error) {
	c := &Cluster{Spec: spec, Targets: make(map[ident.Target]*Target)}
	steps := []func(context.Context) error{
		c.prepare, c.startPlatform, c.startProxy, c.startTargets, c.applyDeclarations, c.startHosts, c.WaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Stop kills all processes and removes the cluster's files.
func (c *Cluster) Stop() {
	for _, p := range c.processes() {
		_ = p.Kill()
	}
	if c.PlatformClient != nil {
		c.PlatformClient.CloseIdleConnections()
	}
	http.DefaultClient.CloseIdleConnections()
	_ = os.RemoveAll(c.dir)
}

// Host returns the host with the given name, or nil.
func (c *Cluster) Host(name ident.Host) *Host {
	for _, h := range c.Hosts {
		if h.ID() == name {
			return h
		}
	}
	return nil
}

// WaitReady waits until every running host is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, h := range c.Hosts {
		if !h.Running() {
			continue
		}
		if err := h.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Logs returns the output of all processes.
func (c *Cluster) Logs() string {
	var text []byte
	for _, p := range c.processes() {
		output, _ := os.ReadFile(p.Log)
		text = append(text, "--- "+p.Name+"\n"...)
		text = append(text, output...)
	}
	return string(text)
}

func (c *Cluster) processes() []*Process {
	var all []*Process
	for _, h := range c.Hosts {
		all = append(all, h.Process)
	}
	for _, t := range c.Targets {
		all = append(all, t.Process)
	}
	if c.proxy != nil {
		all = append(all, c.proxy.Process)
	}
	if c.Platform != nil {
		all = append(all, c.Platform.Process)
	}
	return all
}

func (c *Cluster) prepare(context.Context) error {
	binaries, err := Build()
	if err != nil {
		return err
	}
	c.Binaries = binaries
	c.dir, err = os.MkdirTemp("", "cornelyard-bed-")
	return Error.Wrap(err)
}

func (c *Cluster) newProcess(name, binary string, args ...string) *Process {
	return NewProcess(c.dir, name, binary, args...)
}
