package testbed

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage/restclient"
)

// startTimeout limits the start of one stand-in.
const startTimeout = 20 * time.Second

// startStandin starts a stand-in and waits until it listens.
func (c *Cluster) startStandin(ctx context.Context, name, kind string, flags ...string) (Standin, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return Standin{}, err
	}
	controlAddress, err := loopback.FreeAddress()
	if err != nil {
		return Standin{}, err
	}
	args := append([]string{kind, "--listen", address, "--control", controlAddress}, flags...)
	s := Standin{
		Process: c.newProcess(name, c.Binaries.Standin, args...),
		Address: address,
		control: controlClient{address: controlAddress},
	}
	if err := s.Start(); err != nil {
		return s, err
	}
	return s, s.WaitListening(ctx)
}

// WaitListening waits until the stand-in accepts connections.
func (s *Standin) WaitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return waitUntil(ctx, s.Name+" accepts connections", func() bool {
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
		journal := filepath.Join(c.dir, name+".journal")
		flags := append([]string{"--journal", journal}, spec.Flags...)
		standin, err := c.startStandin(ctx, name, string(c.poolKind(spec.Pool)), flags...)
		target := &Target{Standin: standin, Declared: spec.Target, journal: journal}
		c.Targets[spec.Name] = target
		if err != nil {
			return err
		}
		target.Declared.Address, err = c.proxiedAddress(targetLink(spec.Name), standin.Address)
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
