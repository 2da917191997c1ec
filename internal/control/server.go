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

// Server is a control server.
type Server struct {
	options Options
	folder  *folder
	watches *watches
	figures figures
	started time.Time
	epoch   string // whose the index of the members is

	listMu sync.RWMutex // held by upstream for one entry at a time
	list   *catalog.Catalog

	keepMu          sync.Mutex    // what the folder gets
	savedIndex      int64         // of the snapshot in the folder that this process has written; -1: none
	snapshotMissing bool          // the changes that are kept come after a snapshot that is not
	keptIndex       atomic.Int64  // that a restart would begin with; -1: none
	saveDue         chan struct{} // of one place: a snapshot is due at once

	memberMu      sync.Mutex
	members       *members
	published     chan struct{} // closed when members change, and replaced
	settled       bool          // members may be published
	restored      bool          // members are known from before this process
	peersAnswered map[string]bool
	memberAnswers map[memberAnswerKey]*memberAnswer // since the last publication
	membersToSave bool
	keptLeases    atomic.Int64 // that a restart would begin with

	building   chan struct{} // a place for each answer that is being built
	wholeLists chan struct{} // a place for each whole list that is being sent
	overload   quietLog
	stopping   chan struct{}
}

// New makes a server, with what its folder has kept.
func New(options Options) (*Server, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.setDefaults()
	if err := options.Layout.Validate(); err != nil {
		return nil, err
	}
	folder, err := openFolder(options.StateDir)
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, folder: folder, started: time.Now(), epoch: fmt.Sprintf("%016x", rand.Uint64()),
		watches: newWatches(options.Layout, options.MaxScopes, options.MaxScopePartitions), members: newMembers(options.Lease),
		published: make(chan struct{}), peersAnswered: map[string]bool{}, memberAnswers: map[memberAnswerKey]*memberAnswer{}, building: make(chan struct{}, 2*runtime.GOMAXPROCS(0)),
		wholeLists: make(chan struct{}, maxWholeLists), stopping: make(chan struct{}), savedIndex: -1, saveDue: make(chan struct{}, 1)}
	s.list = folder.loadList(options.Layout, options.Limits)
	s.keptIndex.Store(s.list.Index())
	s.restoreMembers()
	return s, nil
}

// shutdownTime is how long answers that are under way may take after the context has ended.
const shutdownTime = 2 * time.Second

// Run serves until the context ends, and then ends in order: held watches are answered, and the list is kept.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var working sync.WaitGroup
	working.Go(func() { s.followUpstream(work) })
	working.Go(func() { s.publishMembers(work) })
	working.Go(func() { s.saveRegularly(work) })
	for _, peer := range s.options.Peers {
		working.Go(func() { s.followPeer(work, peer) })
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.countBytes(listener)) }()
	slog.Info("control server is ready", "name", s.options.Name, "address", listener.Addr().String(), "index", s.index(),
		"partitions", s.options.Layout.Partitions, "replicas", s.options.Layout.Replicas)
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	}
	close(s.stopping)
	limit, stop := context.WithTimeout(context.Background(), shutdownTime)
	defer stop()
	if server.Shutdown(limit) != nil {
		server.Close()
	}
	cancel()
	working.Wait()
	return errors.Join(err, s.saveAll(), s.folder.close())
}

// Handler serves the calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", s.handle(s.serveList))
	mux.HandleFunc("PUT /v1/scopes/{digest}", s.handle(s.serveScope))
	mux.HandleFunc("GET /v1/members", s.handle(s.serveMembers))
	mux.HandleFunc("GET /v1/figures", s.serveFigures)
	return mux
}

// handle bounds the calls that are under way, held ones included, and answers with what went wrong.
func (s *Server) handle(serve func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.figures.requests.Add(1)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.MaxHold + writeTime)) // of answers that set no other
		if n := s.figures.underWay.Add(1); n > int64(s.options.MaxRequests) {
			s.overload.warn("more requests than are served at the same time: some are answered with 503", "max_requests", s.options.MaxRequests)
			s.writeProblem(w, unavailable(time.Second, "more than %d requests at the same time", s.options.MaxRequests))
		} else if err := serve(w, r); err != nil {
			s.writeProblem(w, err)
		}
		s.figures.underWay.Add(-1)
	}
}

// index is the index of the list.
func (s *Server) index() int64 {
	s.listMu.RLock()
	defer s.listMu.RUnlock()
	return s.list.Index()
}

// followUpstream keeps the list as discovery has it.
func (s *Server) followUpstream(ctx context.Context) {
	platform := agent.New(s.options.Upstream, agent.Fleet{})
	platform.Stream(ctx, s.index(), s.options.Stream, &upstreamSink{server: s})
}

// quietLog writes a line at most once in a while.
type quietLog struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

const quietTime = 10 * time.Second

func (l *quietLog) warn(text string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.last) < quietTime {
		l.skipped++
		return
	}
	slog.Warn(text, append(args, "not_logged", l.skipped)...)
	l.last, l.skipped = time.Now(), 0
}
