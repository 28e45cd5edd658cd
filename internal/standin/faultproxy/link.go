package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

const dialTimeout = 2 * time.Second

// Link is one named path through the proxy.
type Link struct {
	Name string `json:"name"`
	// Address is where the link accepts connections.
	Address string `json:"address"`
	Target  string `json:"target"`

	toTarget direction
	toClient direction

	mu       sync.Mutex
	listener net.Listener
	pairs    map[*pair]struct{}
}

func newLink(ctx context.Context, o LinkOptions) (*Link, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	link := &Link{
		Name:     o.Name,
		Address:  listener.Addr().String(),
		Target:   o.Target,
		listener: listener,
		pairs:    make(map[*pair]struct{}),
	}
	go link.accept(ctx, listener)
	return link, nil
}

// SetFaults replaces the link's faults.
func (l *Link) SetFaults(ctx context.Context, f Faults) error {
	delay := int64(f.DelayMs) * int64(time.Millisecond)
	l.toTarget.delay.Store(delay)
	l.toClient.delay.Store(delay)
	l.toTarget.gate.Set(f.Cut || f.CutToTarget)
	l.toClient.gate.Set(f.Cut || f.CutToClient)
	if f.Refuse {
		l.stopListening()
		l.Reset()
		return nil
	}
	return l.listenAgain(ctx)
}

// Reset resets the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

func (l *Link) stopListening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

func (l *Link) listenAgain(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(ctx, listener)
	return nil
}

func (l *Link) accept(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(ctx, client)
	}
}

func (l *Link) forward(ctx context.Context, client net.Conn) {
	target, err := net.DialTimeout("tcp", l.Target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	p := &pair{client: client, target: target}
	l.add(p)
	defer l.remove(p)
	stop := context.AfterFunc(ctx, p.reset)
	defer stop()
	p.forward(ctx, &l.toTarget, &l.toClient)
}

func (l *Link) add(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = struct{}{}
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}
