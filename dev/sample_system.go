package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/daemon"
	"github.com/cornelyard/cornelyard/ident"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage/restclient"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dev")

const (
	dataCentre = ident.DataCentre("colombo-1")
	hostCount  = 2
	// readinessDelay is short, as there is no load balancer that has to detect the
	// shutdown.
	readinessDelay = settings.Duration(200 * time.Millisecond)
	// startTimeout bounds the time until all hosts are ready.
	startTimeout = 15 * time.Second
	// readyPollInterval is the interval between two readiness checks.
	readyPollInterval = 50 * time.Millisecond
)

// sampleSystem holds the components that Run started.
type sampleSystem struct {
	out      io.Writer
	platform *standinplatform.Platform
	// platformURL is the base URL of the stand-in platform.
	platformURL string
	targets     []standinTarget
	hosts       []config.Host
	group       run.Group
}

// Run serves until ctx ends and then shuts down gracefully. It writes the
// addresses, the sample tokens and example commands to out.
func Run(ctx context.Context, out io.Writer, logs io.Writer) error {
	s := &sampleSystem{out: out}
	standins, stop := context.WithCancel(context.Background())
	defer stop()
	if err := s.startStandins(standins); err != nil {
		return err
	}
	if err := s.applyDeclarations(ctx); err != nil {
		return err
	}
	if err := s.addHosts(ctx, logs); err != nil {
		return err
	}
	instructionsCtx, cancel := context.WithCancel(ctx)
	s.group.Add(func() error { return s.printInstructions(instructionsCtx) }, func(error) { cancel() })
	return s.group.Run()
}

// addHosts adds an actor for each entry host. Each drains when ctx ends.
func (s *sampleSystem) addHosts(ctx context.Context, logs io.Writer) error {
	for i := range hostCount {
		host, err := s.hostSettings(i)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, host)
	}
	for _, host := range s.hosts {
		d, err := daemon.New(daemon.Options{Config: host, LogOutput: logs})
		if err != nil {
			return err
		}
		hostCtx, cancel := context.WithCancel(ctx)
		s.group.Add(func() error { return d.Run(hostCtx) }, func(error) { cancel() })
	}
	return nil
}

func (s *sampleSystem) hostSettings(i int) (config.Host, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return config.Host{}, err
	}
	host := config.Host{
		Host:                ident.Host(fmt.Sprintf("host-%d", i+1)),
		DataCentre:          dataCentre,
		CallerAddress:       addresses[0],
		PeerAddress:         addresses[1],
		OperatorAddress:     addresses[2],
		Platform:            s.platformURL,
		PeerKeys:            []string{peerKey},
		OperatorTokenHashes: []string{settings.TokenHash(OperatorToken)},
		Timing:              config.Timing{ReadinessDelay: readinessDelay},
		LogLevel:            "warn",
	}
	for _, other := range s.hosts {
		host.Seeds = append(host.Seeds, other.PeerAddress)
	}
	return host, nil
}

// applyDeclarations stores the sample declarations on the stand-in platform.
func (s *sampleSystem) applyDeclarations(ctx context.Context) error {
	documents, err := declarations(s.targets)
	if err != nil {
		return err
	}
	store := settings.NewStore(settings.StoreOptions{
		Table: restclient.New(restclient.Options{BaseURL: s.platformURL}),
	})
	_, err = store.Apply(ctx, settings.Change{
		Author:    "dev",
		Reason:    "sample declarations",
		Puts:      documents,
		Principal: settings.OperatorPrincipal(),
	})
	return Error.Wrap(err)
}

// freeAddresses returns n loopback addresses whose ports were free.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
