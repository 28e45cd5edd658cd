package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// connPair is an accepted connection and the connection to the target.
type connPair struct {
	client net.Conn
	target net.Conn
	// faults applies to this pair. It changes when the source of the connection is
	// resolved.
	faults atomic.Pointer[faultState]
}

// forward copies in both directions until both have ended. An error in one direction
// resets both connections.
func (p *connPair) forward(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(ctx, cancel, p.toTarget, p.target, p.client) })
	directions.Go(func() { p.copy(ctx, cancel, p.toClient, p.client, p.target) })
	directions.Wait()
	_ = p.client.Close()
	_ = p.target.Close()
}

func (p *connPair) toTarget() *direction { return &p.faults.Load().toTarget }

func (p *connPair) toClient() *direction { return &p.faults.Load().toClient }

func (p *connPair) copy(ctx context.Context, cancel context.CancelFunc, faults func() *direction, to, from net.Conn) {
	if err := copyBytes(ctx, faults, to, from); err != nil {
		p.reset()
		cancel()
	}
}

// reset closes both connections with a TCP RST.
func (p *connPair) reset() {
	reset(p.client)
	reset(p.target)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
