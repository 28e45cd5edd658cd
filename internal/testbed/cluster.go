package testbed

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/platform/restclient"
	"github.com/cornelyard/cornelyard/settings"
)

// OperatorToken is accepted by every host's operator listener.
const OperatorToken = "testbed-operator"

// startLimit bounds the start of one stand-in.
const startLimit = 20 * time.Second

// Cluster is a running cluster.
type Cluster struct {
	Spec     Spec
	Binaries *Binaries
	Platform *Platform
	Hosts    []*Host
	Targets  map[ident.Target]*Target
	// PlatformClient reaches the platform past the fault proxy.
	PlatformClient *restclient.Client

	dir   string
	proxy *proxy
}

// Start builds the programs if needed, starts the cluster and waits until every
// host is ready. Stop must be called, also after an error.
func Start(ctx context.Context, spec Spec) (*Cluster, error) {
	c := &Cluster{Spec: spec, Targets: make(map[ident.Target]*Target)}
	steps := []func(context.Context) error{
		c.prepare, c.startPlatform, c.startProxy, c.startTargets, c.declare, c.startHosts, c.WaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Stop kills every process and removes the cluster's files.
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

// Host returns the host with the name.
func (c *Cluster) Host(name ident.Host) *Host {
	for _, h := range c.Hosts {
		if h.Host() == name {
			return h
		}
	}
	return nil
}

// WaitReady waits until every running host takes callers.
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

// Logs returns the output of every process.
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
	return &Process{Name: name, Log: filepath.Join(c.dir, name+".log"), binary: binary, args: args}
}

// startStandin starts a stand-in and waits until it listens.
func (c *Cluster) startStandin(ctx context.Context, name, kind string, flags ...string) (Standin, error) {
	address, err := FreeAddress()
	if err != nil {
		return Standin{}, err
	}
	controlAddress, err := FreeAddress()
	if err != nil {
		return Standin{}, err
	}
	args := append([]string{kind, "--listen", address, "--control", controlAddress}, flags...)
	s := Standin{
		Process: c.newProcess(name, c.Binaries.Standin, args...),
		Address: address,
		control: control{address: controlAddress},
	}
	if err := s.Start(); err != nil {
		return s, err
	}
	return s, s.WaitListening(ctx)
}

// WaitListening waits until the stand-in accepts connections.
func (s *Standin) WaitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return poll(ctx, s.Name+" listens", func() bool {
		conn, err := net.Dial("tcp", s.control.address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	standin, err := c.startStandin(ctx, "platform", "platform", c.Spec.PlatformFlags...)
	c.Platform = &Platform{Standin: standin}
	c.PlatformClient = restclient.New(restclient.Options{BaseURL: "http://" + standin.Address})
	return err
}

func (c *Cluster) startProxy(ctx context.Context) error {
	if !c.Spec.Proxied {
		return nil
	}
	standin, err := c.startStandin(ctx, "faultproxy", "faultproxy")
	c.proxy = &proxy{Standin: standin}
	return err
}

func (c *Cluster) startTargets(ctx context.Context) error {
	for _, spec := range c.Spec.Targets {
		name := string(spec.Name)
		standin, err := c.startStandin(ctx, name, string(c.poolKind(spec.Pool)), spec.Flags...)
		target := &Target{Standin: standin, Declared: spec.Target}
		c.Targets[spec.Name] = target
		if err != nil {
			return err
		}
		target.Declared.Address, err = c.through(targetLink(spec.Name), standin.Address)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) poolKind(pool ident.Pool) settings.PoolKind {
	for _, p := range c.Spec.Pools {
		if p.Name == pool {
			return p.Kind
		}
	}
	return settings.EnginePool
}
