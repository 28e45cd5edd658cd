package dev

import (
	"context"
	"net"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/standin/service"
	"github.com/cornelyard/cornelyard/settings"
)

// standinTarget is a stand-in target with its declaration.
type standinTarget struct {
	declaration    settings.Target
	serve          func(ctx context.Context, service, control net.Listener) error
	controlAddress string
}

const (
	enginePool   ident.Pool = "drafting"
	servicePool  ident.Pool = "returns"
	model                   = "draft-1"
	engineSlots             = 8
	serviceSlots            = 16
)

// Performance of a sample engine of speed 1.
const (
	baseDecodeGap   = 40 * time.Millisecond
	basePrefillRate = 2000.0 // tokens per second
)

// startStandins starts the stand-in platform and targets. They serve until ctx
// ends.
func (s *sampleSystem) startStandins(ctx context.Context) error {
	s.platform = standinplatform.New(standinplatform.Options{})
	address, _, err := serveStandin(ctx, s.platform.Serve)
	if err != nil {
		return err
	}
	s.platformURL = "http://" + address
	s.targets = []standinTarget{
		engineTarget("engine-slow", 1),
		engineTarget("engine-medium", 2),
		engineTarget("engine-fast", 4),
		serviceTarget("returns-1"),
	}
	for i := range s.targets {
		t := &s.targets[i]
		t.declaration.Address, t.controlAddress, err = serveStandin(ctx, t.serve)
		if err != nil {
			return err
		}
	}
	return nil
}

func engineTarget(name ident.Target, speed int) standinTarget {
	e := engine.New(engine.Options{
		PrefillRate: basePrefillRate * float64(speed),
		DecodeGap:   baseDecodeGap / time.Duration(speed),
	})
	return standinTarget{
		declaration: settings.Target{
			Name:        name,
			Pool:        enginePool,
			DataCentre:  dataCentre,
			Slots:       engineSlots,
			EchoesID:    true,
			Resumes:     true,
			ReportsLoad: true,
		},
		serve: e.Serve,
	}
}

func serviceTarget(name ident.Target) standinTarget {
	return standinTarget{
		declaration: settings.Target{
			Name:       name,
			Pool:       servicePool,
			DataCentre: dataCentre,
			Slots:      serviceSlots,
			EchoesID:   true,
		},
		serve: service.New(service.Options{}).Serve,
	}
}

// serveStandin serves a stand-in on two free ports and returns their addresses.
func serveStandin(
	ctx context.Context, serve func(ctx context.Context, service, control net.Listener) error,
) (address, control string, err error) {
	serviceListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", "", Error.Wrap(err)
	}
	controlListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = serviceListener.Close()
		return "", "", Error.Wrap(err)
	}
	go func() { _ = serve(ctx, serviceListener, controlListener) }()
	return serviceListener.Addr().String(), controlListener.Addr().String(), nil
}
