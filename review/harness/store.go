package harness

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// StoreFront is how one host reaches the platform's store. It can turn that host away with 503, as
// the pages say the store may, while the store serves the others.
type StoreFront struct {
	server *httptest.Server

	mu     sync.Mutex
	away   bool
	cancel context.CancelFunc
	ctx    context.Context
}

// NewStoreFront returns a front of the store that serves.
func NewStoreFront(store *platformtest.Store) *StoreFront {
	f := &StoreFront{}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})
	proxy.FlushInterval = -1
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, turnedAway := f.state()
		if turnedAway {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		joined, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		proxy.ServeHTTP(w, r.WithContext(joined))
	}))
	return f
}

// Address returns IP:port.
func (f *StoreFront) Address() string { return f.server.Listener.Addr().String() }

func (f *StoreFront) state() (context.Context, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ctx, f.away
}

// SetAway sets whether the store turns the host away. Calls that are waiting are turned away too.
func (f *StoreFront) SetAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
	if away {
		f.cancel()
		f.ctx, f.cancel = context.WithCancel(context.Background())
	}
}

// Close stops the front.
func (f *StoreFront) Close() {
	f.cancel()
	f.server.CloseClientConnections()
	f.server.Close()
}
