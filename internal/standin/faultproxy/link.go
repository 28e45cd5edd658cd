package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

const dialTimeout = 2 * time.Second

// Link is a named listener that forwards connections to a target.
type Link struct {
	Name string `json:"name"`
	// Address is where the link accepts connections, as IP:port.
	Address string `json:"address"`
	Target  string `json:"target"`

	ctx     context.Context
	sources *sources

	mu          sync.Mutex
	listener    net.Listener
	faults      Faults
	faultStates map[string]*faultState
	pairs       map[*connPair]struct{}
}

func newLink(ctx context.Context, o LinkOptions, sources *sources) (*Link, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	link := &Link{
		Name:        o.Name,
		Address:     listener.Addr().String(),
		Target:      o.Target,
		ctx:         ctx,
		sources:     sources,
		listener:    listener,
		faultStates: make(map[string]*faultState),
		pairs:       make(map[*connPair]struct{}),
	}
	go link.accept(listener)
	return link, nil
}

// SetFaults replaces the faults for all sources.
func (l *Link) SetFaults(f Faults) error {
	l.mu.Lock()
	l.faults = f
	for _, p := range l.faultStates {
		p.apply(f)
	}
	l.mu.Unlock()
	if !f.Refuse {
		return l.resumeListening()
	}
	l.stopListening()
	l.Reset()
	return nil
}

// SetSourceFaults replaces the faults for the connections of one source.
func (l *Link) SetSourceFaults(source string, f Faults) {
	l.resolveSources()
	l.faultState(source).apply(f)
	if f.Refuse {
		l.ResetSource(source)
	}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// ResetSource resets the open connections of one source.
func (l *Link) ResetSource(source string) {
	l.resolveSources()
	state := l.faultState(source)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.faults.Load() == state {
			p.reset()
		}
	}
}

// resolveSources retries the source lookup for connections that were accepted before
// their source was registered.
func (l *Link) resolveSources() {
	unknown := l.faultState(unknownSource)
	for _, p := range l.pairsWith(unknown) {
		if source := l.sources.lookup(p.client); source != unknownSource {
			p.faults.Store(l.faultState(source))
		}
	}
}

func (l *Link) pairsWith(state *faultState) []*connPair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*connPair
	for p := range l.pairs {
		if p.faults.Load() == state {
			found = append(found, p)
		}
	}
	return found
}

func (l *Link) stopListening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

func (l *Link) resumeListening() error {
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
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	stop := context.AfterFunc(l.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	source := l.sources.lookup(client)
	state := l.faultState(source)
	if state.refuse.Load() {
		reset(client)
		return
	}
	target, err := net.DialTimeout("tcp", l.Target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	p := &connPair{client: client, target: target}
	p.faults.Store(state)
	l.add(p)
	defer l.remove(p)
	stop := context.AfterFunc(l.ctx, p.reset)
	defer stop()
	p.forward(l.ctx)
}

// faultState returns the fault state of a source. A new one starts with the faults set
// for all sources.
func (l *Link) faultState(source string) *faultState {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.faultStates[source]
	if !ok {
		p = new(faultState)
		p.apply(l.faults)
		l.faultStates[source] = p
	}
	return p
}

func (l *Link) add(p *connPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = struct{}{}
}

func (l *Link) remove(p *connPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}
