package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// handlers forwards each call to all handlers in the order of their registration.
type handlers []Handler

func (hs handlers) handleFrame(from ident.Host, f *peerpb.Frame) {
	for _, h := range hs {
		h.HandleFrame(from, f)
	}
}

func (hs handlers) sessionUp(host ident.Host, hello *peerpb.Hello) {
	for _, h := range hs {
		if hh, ok := h.(HelloHandler); ok {
			hh.HandleHello(host, hello)
		}
	}
	for _, h := range hs {
		h.SessionUp(host)
	}
}

func (hs handlers) sessionDown(host ident.Host) {
	for _, h := range hs {
		h.SessionDown(host)
	}
}

func (hs handlers) dialRefused(host ident.Host) {
	for _, h := range hs {
		if o, ok := h.(DialObserver); ok {
			o.DialRefused(host)
		}
	}
}
