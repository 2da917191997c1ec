package control

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
)

// listQuery holds the parsed parameters of a list request.
type listQuery struct {
	scope        *scope // the registered scope named in the request; nil: none
	destinations ownership.Set
	from         int64 // index after which changes are requested; -1: a snapshot
	hold         time.Duration
}

// catalogScope returns the scope of the query as the catalog takes it.
func (q *listQuery) catalogScope() catalog.Scope {
	scope := catalog.Scope{Destinations: q.destinations}
	switch {
	case q.scope != nil:
		scope.Partitions = q.scope.partitions
	case q.destinations.Len() == 0:
		scope.Whole = true
	}
	return scope
}

func (s *Server) parseListQuery(values url.Values) (*listQuery, error) {
	q := &listQuery{from: -1}
	var err error
	if q.from, err = parseNumber(values, "from", -1); err != nil {
		return nil, err
	}
	if q.hold, err = s.parseHold(values); err != nil {
		return nil, err
	}
	maxDestinations := api.MaxLookupDestinations
	if digest := values.Get("scope"); values.Has("scope") {
		if q.scope = s.watches.find(digest); q.scope == nil {
			return nil, errUnknownScope
		}
		maxDestinations = api.MaxExtraDestinations
	}
	if values.Has("destinations") {
		if q.destinations, err = ownership.ParseSet(values.Get("destinations"), maxDestinations, math.MaxUint32+1); err != nil {
			return nil, badRequest("destinations: %v", err)
		}
		if q.scope == nil && q.destinations.Len() == 0 {
			return nil, badRequest("destinations: the set is empty; without a scope it names 1 to %d", api.MaxLookupDestinations)
		}
	}
	return q, nil
}

var errUnknownScope = &httpError{status: http.StatusNotFound, text: api.UnknownScope}

func parseNumber(values url.Values, key string, missing int64) (int64, error) {
	if !values.Has(key) {
		return missing, nil
	}
	number, err := strconv.ParseInt(values.Get(key), 10, 64)
	if err != nil || number < 0 {
		return 0, badRequest("%s %.40q: a whole number from 0 on", key, values.Get(key))
	}
	return number, nil
}

func (s *Server) parseHold(values url.Values) (time.Duration, error) {
	ms, err := parseNumber(values, "hold_ms", 0)
	return time.Duration(min(ms, s.options.MaxHold.Milliseconds())) * time.Millisecond, err
}

// serveScope registers a scope after it has verified the scope's digest.
func (s *Server) serveScope(w http.ResponseWriter, r *http.Request) error {
	var body api.Scope
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxScopeBody)).Decode(&body); err != nil {
		return badRequest("the body is no scope: %v", err)
	}
	if own := s.options.Layout.Partitions; body.Partitions != own {
		return badRequest("partitions %d: this server has %d; set the same for the whole fleet", body.Partitions, own)
	}
	digest := ownership.Digest(body.Partitions, body.Set)
	if named := r.PathValue("digest"); named != digest {
		return badRequest("digest %.40q: that of the body is %s", named, digest)
	}
	partitions, err := ownership.ParseSet(body.Set, body.Partitions, uint64(body.Partitions))
	if err != nil {
		return badRequest("set: %v", err)
	}
	if err := s.watches.register(digest, partitions); err != nil {
		return badRequest("set: %v", err)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// serveList responds with a snapshot of the requested part of the list, or with the changes in it.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) error {
	q, err := s.parseListQuery(r.URL.Query())
	if err != nil {
		return err
	}
	scope := q.catalogScope()
	if q.from >= 0 && q.hold > 0 {
		if err := s.awaitListChange(r.Context(), q, &scope); err != nil {
			return err
		}
	}
	buffer := buffers.Get().(*[]byte)
	defer putBuffer(buffer)
	body, err := s.buildList(r.Context(), q.from, &scope, (*buffer)[:0])
	*buffer = body
	if errors.Is(err, errTooManyEntries) {
		return s.streamList(w, r, &scope)
	}
	if err != nil {
		return err
	}
	s.writeJSON(w, r, body)
	return nil
}

// buffers holds reusable buffers in which responses are built.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBuffer {
		buffers.Put(buffer)
	}
}

// errTooManyEntries reports that a snapshot is too large to be built in memory and has to be streamed.
var errTooManyEntries = errors.New("too many entries to build the response in memory")

// awaitListChange returns when something in the scope has changed since q.from, when the hold time has expired, when the server stops, or when
// the catalog can't answer from this index. An error means that the request fails.
func (s *Server) awaitListChange(ctx context.Context, q *listQuery, scope *catalog.Scope) error {
	waiter := s.watches.add(q.scope, q.destinations, scope.Whole)
	if waiter == nil {
		return unavailable(time.Second, "more than %d single destinations are watched here", maxWatchedDestinations)
	}
	defer s.watches.remove(waiter)
	timeout := time.NewTimer(q.hold)
	defer timeout.Stop()
	for isWaiting := false; ; {
		if q.scope != nil && !s.watches.isRegistered(q.scope) {
			return errUnknownScope
		}
		s.listMu.RLock()
		changed, err := s.list.HasChanged(scope, q.from)
		s.listMu.RUnlock()
		if changed || err != nil {
			return nil
		}
		if !isWaiting { // the watch was registered before the check, so every later change wakes it
			isWaiting = true
			s.counters.watchers.Add(1)
			defer s.counters.watchers.Add(-1)
		}
		select {
		case <-waiter.wake:
			s.counters.wakeUps.Add(1)
		case <-timeout.C:
			return nil
		case <-s.stopping:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// buildList appends a response to body: the changes since the index from, or a snapshot if there is no such index or the log does not reach back
// to it.
func (s *Server) buildList(ctx context.Context, from int64, scope *catalog.Scope, body []byte) ([]byte, error) {
	select {
	case s.buildSlots <- struct{}{}:
		defer func() { <-s.buildSlots }()
	case <-ctx.Done():
		return body, ctx.Err()
	}
	s.listMu.RLock()
	defer s.listMu.RUnlock()
	if from >= 0 {
		answer, err := s.appendDelta(body, from, scope)
		if !errors.Is(err, catalog.ErrSnapshotNeeded) {
			return answer, s.toHTTPError(err, from)
		}
	}
	if s.list.Index() >= 0 && s.estimateEntries(scope) > s.options.MaxBufferedEntries {
		return body, errTooManyEntries
	}
	body = appendListHeader(body, s.list.Index(), true)
	first := true
	err := s.list.VisitScope(scope, func(e agent.Endpoint) {
		body = appendEntry(body, &e, first)
		first = false
	})
	s.counters.snapshots.Add(1)
	return append(body, listEnd...), s.toHTTPError(err, from)
}

func (s *Server) appendDelta(body []byte, from int64, scope *catalog.Scope) ([]byte, error) {
	body = appendListHeader(body, s.list.Index(), false)
	first := true
	err := s.list.VisitChanges(scope, from, func(e agent.Endpoint) {
		body = appendEntry(body, &e, first)
		first = false
	})
	s.counters.deltas.Add(1)
	return append(body, listEnd...), err
}

// estimateEntries returns how many entries a scope has if entries are spread evenly over partitions.
func (s *Server) estimateEntries(scope *catalog.Scope) int {
	if scope.Whole {
		return math.MaxInt
	}
	return int(int64(scope.Partitions.Len()) * int64(s.list.Len()) / int64(s.options.Layout.Partitions))
}

// toHTTPError converts an error of the catalog to one that is sent to the client.
func (s *Server) toHTTPError(err error, from int64) error {
	switch {
	case errors.Is(err, catalog.ErrNoList):
		return unavailable(time.Second, "this server has no list yet: ask another one")
	case errors.Is(err, catalog.ErrCatalogBehind):
		return unavailable(time.Second, "this server has index %d, which is behind %d: ask another one", s.list.Index(), from)
	}
	return err
}
