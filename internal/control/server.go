package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
)

// Server is a control server. New makes one, and Run serves.
type Server struct {
	options  Options
	stateDir *stateDir
	watches  *watches
	counters counters
	started  time.Time
	epoch    string // random, new in each process: an index of the members is valid only within its epoch

	listMu sync.RWMutex // upstreamSink locks it for one entry at a time
	list   *catalog.Catalog

	persistMu         sync.Mutex    // guards the changes file and the three fields below
	snapshotIndex     int64         // index of the last snapshot that this process has written; -1: none
	snapshotPending   bool          // the current changes file follows a snapshot that is not written yet
	persistedIndex    atomic.Int64  // index of the list that a restart would load; -1: none
	snapshotRequested chan struct{} // has a capacity of 1: a snapshot is to be written without waiting for SaveEvery

	memberMu        sync.Mutex
	members         *members
	published       chan struct{} // closed and replaced at each publication
	settled         bool          // members may be published
	restored        bool          // leases were restored from the lease file
	peersAnswered   map[string]bool
	memberAnswers   map[memberAnswerKey]*memberAnswer // cached since the last publication
	membersDirty    bool
	persistedLeases atomic.Int64 // number of leases that a restart would restore

	buildSlots  chan struct{} // semaphore: responses being built at the same time
	streamSlots chan struct{} // semaphore: lists being streamed at the same time
	overloadLog throttledLog
	stopping    chan struct{}
}

// New creates a server and loads the state in its folder.
func New(options Options) (*Server, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.setDefaults()
	if err := options.Layout.Validate(); err != nil {
		return nil, err
	}
	folder, err := openStateDir(options.StateDir)
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, stateDir: folder, started: time.Now(), epoch: fmt.Sprintf("%016x", rand.Uint64()),
		watches: newWatches(options.Layout, options.MaxScopes, options.MaxScopePartitions), members: newMembers(options.Lease),
		published: make(chan struct{}), peersAnswered: map[string]bool{}, memberAnswers: map[memberAnswerKey]*memberAnswer{}, buildSlots: make(chan struct{}, 2*runtime.GOMAXPROCS(0)),
		streamSlots: make(chan struct{}, maxStreamedLists), stopping: make(chan struct{}), snapshotIndex: -1, snapshotRequested: make(chan struct{}, 1)}
	s.list = folder.loadList(options.Layout, options.Limits)
	s.persistedIndex.Store(s.list.Index())
	s.restoreMembers()
	return s, nil
}

// shutdownTimeout bounds the time for which Run waits for responses in progress after its context has ended.
const shutdownTimeout = 2 * time.Second

// Run serves until the context ends. Then it shuts down gracefully: it responds to held requests and saves the list and the leases.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var working sync.WaitGroup
	working.Go(func() { s.watchUpstream(work) })
	working.Go(func() { s.publishMembers(work) })
	working.Go(func() { s.runSaver(work) })
	for _, peer := range s.options.Peers {
		working.Go(func() { s.followPeer(work, peer) })
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.limitAndCount(listener)) }()
	slog.Info("control server is ready", "name", s.options.Name, "address", listener.Addr().String(), "index", s.index(),
		"partitions", s.options.Layout.Partitions, "replicas", s.options.Layout.Replicas)
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	}
	close(s.stopping)
	limit, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	if server.Shutdown(limit) != nil {
		server.Close()
	}
	cancel()
	working.Wait()
	return errors.Join(err, s.saveAll(), s.stateDir.close())
}

// Handler returns the handler of the server's HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", s.handle(s.serveList))
	mux.HandleFunc("PUT /v1/scopes/{digest}", s.handle(s.serveScope))
	mux.HandleFunc("GET /v1/members", s.handle(s.serveMembers))
	mux.HandleFunc("GET /v1/figures", s.serveStats)
	return mux
}

// handle limits the number of requests in progress, held ones included, and responds with the error if one fails.
func (s *Server) handle(serve func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counters.requests.Add(1)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.MaxHold + writeTimeout)) // for responses that set no deadline of their own
		if n := s.counters.inFlight.Add(1); n > int64(s.options.MaxRequests) {
			s.overloadLog.warn("more requests than max_requests at the same time: responding with 503", "max_requests", s.options.MaxRequests)
			s.writeError(w, unavailable(time.Second, "more than %d requests at the same time", s.options.MaxRequests))
		} else if err := serve(w, r); err != nil {
			s.writeError(w, err)
		}
		s.counters.inFlight.Add(-1)
	}
}

// index returns the index of the list.
func (s *Server) index() int64 {
	s.listMu.RLock()
	defer s.listMu.RUnlock()
	return s.list.Index()
}

// watchUpstream applies discovery's list and its changes until the context ends.
func (s *Server) watchUpstream(ctx context.Context) {
	platform := agent.New(s.options.Upstream, agent.Fleet{})
	platform.Stream(ctx, s.index(), s.options.Stream, &upstreamSink{server: s})
}

// throttledLog writes at most one line per minLogInterval and counts the others.
type throttledLog struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

const minLogInterval = 10 * time.Second

func (l *throttledLog) warn(text string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.last) < minLogInterval {
		l.skipped++
		return
	}
	slog.Warn(text, append(args, "not_logged", l.skipped)...)
	l.last, l.skipped = time.Now(), 0
}
