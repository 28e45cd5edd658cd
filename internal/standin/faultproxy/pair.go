package faultproxy

import (
	"context"
	"net"
	"sync"
)

// pair is an accepted connection and the one that it is forwarded over.
type pair struct {
	client net.Conn
	target net.Conn
}

// forward copies both ways until both directions have ended. An error in one
// resets both connections.
func (p *pair) forward(ctx context.Context, toTarget, toClient *direction) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(ctx, cancel, toTarget, p.target, p.client) })
	directions.Go(func() { p.copy(ctx, cancel, toClient, p.client, p.target) })
	directions.Wait()
	_ = p.client.Close()
	_ = p.target.Close()
}

func (p *pair) copy(ctx context.Context, cancel context.CancelFunc, d *direction, to, from net.Conn) {
	if err := d.copy(ctx, to, from); err != nil {
		p.reset()
		cancel()
	}
}

// reset closes both connections with a TCP reset.
func (p *pair) reset() {
	reset(p.client)
	reset(p.target)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
