package faultproxy

import (
	"context"
	"net"
	"sync"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// Proxy is a set of links. It is safe for concurrent use.
type Proxy struct {
	ctx     context.Context
	sources sources

	mu    sync.Mutex
	links []*Link
}

// New returns a proxy whose links are open until ctx is done.
func New(ctx context.Context) *Proxy {
	return &Proxy{ctx: ctx}
}

// AddLink opens a link.
func (p *Proxy) AddLink(o LinkOptions) (*Link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.find(o.Name) != nil {
		return nil, standin.Error.New("link %q exists", o.Name)
	}
	link, err := newLink(p.ctx, o, &p.sources)
	if err != nil {
		return nil, standin.Error.Wrap(err)
	}
	p.links = append(p.links, link)
	return link, nil
}

// Link returns the link with the given name, or nil.
func (p *Proxy) Link(name string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(name)
}

func (p *Proxy) find(name string) *Link {
	for _, link := range p.links {
		if link.Name == name {
			return link
		}
	}
	return nil
}

// RegisterSource registers a client process, so that faults can be limited to its
// connections, including those that are already open.
func (p *Proxy) RegisterSource(s Source) {
	p.sources.set(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, link := range p.links {
		link.resolveSources()
	}
}

// Serve serves the control listener until ctx is done.
func (p *Proxy) Serve(ctx context.Context, control net.Listener) error {
	return standin.Serve(ctx, standin.Endpoint{Listener: control, Handler: p.ControlHandler()})
}
