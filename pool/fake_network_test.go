package pool

import (
	"sync"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/peer"
)

// fakeNetwork delivers frames between hosts in order. While a link is cut, sending
// fails and frames in flight are lost.
type fakeNetwork struct {
	mu    sync.Mutex
	links map[fakeLink]chan *peerpb.Frame
	cut   map[fakeLink]bool
	hosts map[ident.Host][]peer.Handler
	done  chan struct{}
}

type fakeLink struct{ from, to ident.Host }

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		links: make(map[fakeLink]chan *peerpb.Frame),
		cut:   make(map[fakeLink]bool),
		hosts: make(map[ident.Host][]peer.Handler),
		done:  make(chan struct{}),
	}
}

// fakeSender is the peer.Sender of one host.
type fakeSender struct {
	network *fakeNetwork
	host    ident.Host
}

func (s fakeSender) Send(to ident.Host, f *peerpb.Frame) error {
	return s.network.send(fakeLink{s.host, to}, f)
}

func (n *fakeNetwork) send(l fakeLink, f *peerpb.Frame) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[l] || n.hosts[l.to] == nil {
		return peer.ErrNoSession
	}
	link, ok := n.links[l]
	if !ok {
		link = make(chan *peerpb.Frame, 4096)
		n.links[l] = link
		go n.deliver(l, link)
	}
	select {
	case link <- f:
		return nil
	default:
		return peer.ErrBacklogFull
	}
}

func (n *fakeNetwork) deliver(l fakeLink, link chan *peerpb.Frame) {
	for {
		select {
		case <-n.done:
			return
		case f := <-link:
			for _, h := range n.handlers(l) {
				h.HandleFrame(l.from, f)
			}
		}
	}
}

func (n *fakeNetwork) handlers(l fakeLink) []peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[l] {
		return nil
	}
	return n.hosts[l.to]
}

func (n *fakeNetwork) remove(host ident.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, host)
}

// setCut cuts or restores both directions of a link and notifies both hosts.
func (n *fakeNetwork) setCut(a, b ident.Host, cut bool) {
	n.mu.Lock()
	n.cut[fakeLink{a, b}] = cut
	n.cut[fakeLink{b, a}] = cut
	atA, atB := n.hosts[a], n.hosts[b]
	n.mu.Unlock()
	for _, h := range atA {
		notifySession(h, b, cut)
	}
	for _, h := range atB {
		notifySession(h, a, cut)
	}
}

func notifySession(h peer.Handler, host ident.Host, cut bool) {
	if cut {
		h.SessionDown(host)
		return
	}
	h.SessionUp(host)
}
