// Package door is the operators' way in: a few calls over HTTP/1.1 at an address of its own. It knows an interface and no engine, and
// answers questions from what was published, so that it answers however busy the forwarder is.
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
	readTime  = 2 * time.Second // for a call to be read, from the connect on
	writeTime = 2 * time.Second
	mostHead  = 8 << 10
	mostBody  = 4 << 10 // none is wanted; one as long as this is read and passed over
	mostConns = 16
	longestID = 256
)

// MaxDescriptors is how many a door may hold: its listener, the connections, and one that makes room.
const MaxDescriptors = mostConns + 2

// Forwarder is what operators ask and tell. None of its methods may wait for long: a caller waits a second.
type Forwarder interface {
	Ready() error                           // nil, or why this process is not ready to serve
	Stats() any                             // the figures, as JSON has them
	DisableEndpoint(target string) error    // until EnableEndpoint
	EnableEndpoint(target string) error     // membership.ErrNeverListed where there never was one
	DrainClients(ctx context.Context) error // clients, until ResumeClients
	ResumeClients(ctx context.Context) error
}

// Server serves operators' calls.
type Server struct {
	server *http.Server
	to     Forwarder

	mu    sync.Mutex
	conns map[net.Conn]*caller
}

// caller is a connection. It has said nothing until its call has been read.
type caller struct {
	since time.Time
	said  bool
}

type connKey struct{}

// Route is one more that a door answers.
type Route struct {
	Pattern string // a method and a path
	MaxBody int64  // bytes that may come with it; 0: none is wanted
	Handler http.HandlerFunc
}

// New makes a Door, which answers further calls beside its own.
func New(to Forwarder, further ...Route) *Server {
	d := &Server{to: to, conns: map[net.Conn]*caller{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, r *http.Request) { say(w, to.Ready()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) { tell(w, to.Stats()) })
	mux.HandleFunc("PUT /targets/{id}/maint", d.target(to.DisableEndpoint))
	mux.HandleFunc("PUT /targets/{id}/ready", d.target(to.EnableEndpoint))
	mux.HandleFunc("PUT /healthcheck/fail", func(w http.ResponseWriter, r *http.Request) { say(w, to.DrainClients(r.Context())) })
	mux.HandleFunc("PUT /healthcheck/ok", func(w http.ResponseWriter, r *http.Request) { say(w, to.ResumeClients(r.Context())) })
	bodies := map[string]int64{}
	for _, c := range further {
		mux.HandleFunc(c.Pattern, c.Handler)
		bodies[c.Pattern] = c.MaxBody
	}
	d.server = &http.Server{
		Handler:           d.bounded(mux, bodies),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ReadTimeout:       readTime,
		ReadHeaderTimeout: readTime,
		WriteTimeout:      readTime + writeTime, // from the end of the head on
		IdleTimeout:       readTime,
		MaxHeaderBytes:    mostHead,
		ConnState:         d.track,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	d.server.SetKeepAlivesEnabled(false) // one call to a connection
	return d
}

// Serve answers calls until Close.
func (d *Server) Serve(ln net.Listener) {
	if err := d.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("the operators' door is shut", "err", err)
	}
}

// Close ends the listener and all calls.
func (d *Server) Close() { d.server.Close() }

// bounded reads what a call brings along, which nobody wants, within bounds, before it is answered: else a caller that still writes
// would lose its answer to a reset.
func (d *Server) bounded(next http.Handler, bodies map[string]int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.heard(r.Context().Value(connKey{}).(net.Conn))
		if at := r.URL.EscapedPath(); at != path.Clean(at) { // the mux would answer with a redirect, which is neither yes nor no
			http.NotFound(w, r)
			return
		}
		if most := bodies[r.Method+" "+r.URL.Path]; most > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, most)
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength > mostBody {
			http.Error(w, "no body is wanted: leave it out", http.StatusRequestEntityTooLarge)
			return
		}
		if r.ContentLength != 0 {
			buf := make([]byte, 1024)
			body := http.MaxBytesReader(w, r.Body, mostBody)
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

// target is a call about one.
func (d *Server) target(do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > longestID {
			http.Error(w, "a target's id has 256 bytes at most", http.StatusBadRequest)
			return
		}
		say(w, do(id))
	}
}

// WriteResult answers yes, or no with the reason.
func WriteResult(w http.ResponseWriter, err error) { say(w, err) }

// WriteJSON answers with figures as JSON.
func WriteJSON(w http.ResponseWriter, figures any) { tell(w, figures) }

// say answers yes, or no with the reason.
func say(w http.ResponseWriter, err error) {
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

func tell(w http.ResponseWriter, figures any) {
	text, err := json.Marshal(figures)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n'))
}

// track keeps the connections few: beyond the bound, the oldest of those that have said nothing makes room, or else the oldest.
func (d *Server) track(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.conns[conn] = &caller{since: time.Now()}
		if len(d.conns) > mostConns {
			d.shed()
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, conn)
	}
}

// heard notes that a call was read on a connection.
func (d *Server) heard(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[conn]; c != nil {
		c.said = true
	}
}

func (d *Server) shed() {
	var worst net.Conn
	for conn, c := range d.conns {
		w := d.conns[worst]
		if w == nil || cmp.Or(cmp.Compare(rank(c), rank(w)), c.since.Compare(w.since)) < 0 {
			worst = conn
		}
	}
	delete(d.conns, worst)
	worst.Close()
}

func rank(c *caller) int {
	if c.said {
		return 1
	}
	return 0
}
