// Package door serves the admin API: a few HTTP/1.1 requests for operators, at an address of its own. It depends on an interface and not on the
// engine, and answers reads from published snapshots, so that it answers however busy the forwarder is.
package door

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"path"
	"sync"
	"time"

	"scaleroute/internal/membership"
)

const (
	readTimeout    = 2 * time.Second // from the connect until the request is read
	writeTimeout   = 2 * time.Second
	maxHeaderBytes = 8 << 10
	maxIgnoredBody = 4 << 10 // a body that no route expects is read and discarded up to this size
	maxConns       = 16
	maxIDLength    = 256
)

// MaxDescriptors is how many file descriptors a Server uses at most: its listener, maxConns connections, and a new one for which another is closed.
const MaxDescriptors = maxConns + 2

// Forwarder carries out operators' requests. None of its methods may block for long, since an operator's request waits a second.
type Forwarder interface {
	Ready() error                           // nil, or the reason why this process is not ready to serve
	Stats() any                             // a value to be written as JSON
	DisableEndpoint(name string) error      // until EnableEndpoint
	EnableEndpoint(name string) error       // membership.ErrNeverListed for an endpoint that was never listed
	DrainClients(ctx context.Context) error // until ResumeClients
	ResumeClients(ctx context.Context) error
}

// Server serves the admin API.
type Server struct {
	server    *http.Server
	forwarder Forwarder

	mu    sync.Mutex
	conns map[net.Conn]*clientConn
}

// clientConn is the state of an open connection.
type clientConn struct {
	acceptedAt  time.Time
	requestRead bool
}

type connKey struct{}

// Route is a route that a Server has besides its own.
type Route struct {
	Pattern string // a method and a path
	MaxBody int64  // size limit of the request's body in bytes; 0: no body is expected
	Handler http.HandlerFunc
}

// New returns a Server for a forwarder, with additional routes besides its own.
func New(forwarder Forwarder, additional ...Route) *Server {
	s := &Server{forwarder: forwarder, conns: map[net.Conn]*clientConn{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, r *http.Request) { writeResult(w, forwarder.Ready()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, forwarder.Stats()) })
	mux.HandleFunc("PUT /targets/{id}/maint", s.endpointHandler(forwarder.DisableEndpoint))
	mux.HandleFunc("PUT /targets/{id}/ready", s.endpointHandler(forwarder.EnableEndpoint))
	mux.HandleFunc("PUT /healthcheck/fail", func(w http.ResponseWriter, r *http.Request) { writeResult(w, forwarder.DrainClients(r.Context())) })
	mux.HandleFunc("PUT /healthcheck/ok", func(w http.ResponseWriter, r *http.Request) { writeResult(w, forwarder.ResumeClients(r.Context())) })
	bodies := map[string]int64{}
	for _, route := range additional {
		mux.HandleFunc(route.Pattern, route.Handler)
		bodies[route.Pattern] = route.MaxBody
	}
	s.server = &http.Server{
		Handler:           s.limitBodies(mux, bodies),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      readTimeout + writeTimeout, // counted from the end of the request's header
		IdleTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.track,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	s.server.SetKeepAlivesEnabled(false) // one request per connection
	return s
}

// Serve answers requests until Close.
func (s *Server) Serve(ln net.Listener) {
	if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("the admin API has stopped serving", "err", err)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() { s.server.Close() }

// limitBodies bounds the bodies of requests. A body that no route expects is read and discarded before the response is written: otherwise a client
// that is still writing would get a reset and lose the response.
func (s *Server) limitBodies(next http.Handler, bodies map[string]int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.markRequestRead(r.Context().Value(connKey{}).(net.Conn))
		if at := r.URL.EscapedPath(); at != path.Clean(at) { // the mux would redirect, which an operator's tool takes neither for success nor for an error
			http.NotFound(w, r)
			return
		}
		if limit := bodies[r.Method+" "+r.URL.Path]; limit > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, limit)
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength > maxIgnoredBody {
			http.Error(w, "no body is wanted: leave it out", http.StatusRequestEntityTooLarge)
			return
		}
		if r.ContentLength != 0 {
			buf := make([]byte, 1024)
			body := http.MaxBytesReader(w, r.Body, maxIgnoredBody)
			for err := error(nil); err == nil; {
				_, err = body.Read(buf)
				var long *http.MaxBytesError
				if errors.As(err, &long) {
					http.Error(w, "no body is wanted: leave it out", http.StatusRequestEntityTooLarge)
					return
				}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// endpointHandler handles a request about one endpoint.
func (s *Server) endpointHandler(do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > maxIDLength {
			http.Error(w, "a target's id has 256 bytes at most", http.StatusBadRequest)
			return
		}
		writeResult(w, do(id))
	}
}

// WriteResult responds with "ok", or with the error's text and a status for it.
func WriteResult(w http.ResponseWriter, err error) { writeResult(w, err) }

// WriteJSON responds with a value as JSON.
func WriteJSON(w http.ResponseWriter, value any) { writeJSON(w, value) }

func writeResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write([]byte("ok\n"))
	case errors.Is(err, membership.ErrNeverListed):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n'))
}

// track limits the number of connections to maxConns: for each one above the limit it closes the oldest of those whose request has not been read yet,
// or the oldest of all if there is none.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = &clientConn{acceptedAt: time.Now()}
		if len(s.conns) > maxConns {
			s.closeOneConn()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// markRequestRead records that the request on a connection has been read.
func (s *Server) markRequestRead(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[conn]; c != nil {
		c.requestRead = true
	}
}

func (s *Server) closeOneConn() {
	var victim net.Conn
	for conn, c := range s.conns {
		v := s.conns[victim]
		if v == nil || cmp.Or(cmp.Compare(keepRank(c), keepRank(v)), c.acceptedAt.Compare(v.acceptedAt)) < 0 {
			victim = conn
		}
	}
	delete(s.conns, victim)
	victim.Close()
}

// keepRank is higher for a connection that is to be kept longer.
func keepRank(c *clientConn) int {
	if c.requestRead {
		return 1
	}
	return 0
}
