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

// listQuery is what a call for a list asks.
type listQuery struct {
	scope        *scope // registered; nil: none is named
	destinations ownership.Set
	from         int64 // -1: all that there are
	hold         time.Duration
}

// wanted is the query's scope in the catalog's terms.
func (q *listQuery) wanted() catalog.Scope {
	wanted := catalog.Scope{Destinations: q.destinations}
	switch {
	case q.scope != nil:
		wanted.Partitions = q.scope.partitions
	case q.destinations.Len() == 0:
		wanted.Whole = true
	}
	return wanted
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
	most := api.MaxLookupDestinations
	if digest := values.Get("scope"); values.Has("scope") {
		if q.scope = s.watches.find(digest); q.scope == nil {
			return nil, errUnknownScope
		}
		most = api.MaxExtraDestinations
	}
	if values.Has("destinations") {
		if q.destinations, err = ownership.ParseSet(values.Get("destinations"), most, math.MaxUint32+1); err != nil {
			return nil, badRequest("destinations: %v", err)
		}
		if q.scope == nil && q.destinations.Len() == 0 {
			return nil, badRequest("destinations: the set is empty; without a scope it names 1 to %d", api.MaxLookupDestinations)
		}
	}
	return q, nil
}

var errUnknownScope = &problem{status: http.StatusNotFound, text: api.UnknownScope}

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

// serveScope registers a scope.
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

// serveList answers with a part of the list, or with what has changed in it.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) error {
	q, err := s.parseListQuery(r.URL.Query())
	if err != nil {
		return err
	}
	wanted := q.wanted()
	if q.from >= 0 && q.hold > 0 {
		if err := s.holdList(r.Context(), q, &wanted); err != nil {
			return err
		}
	}
	buffer := buffers.Get().(*[]byte)
	defer putBuffer(buffer)
	body, err := s.buildList(r.Context(), q.from, &wanted, (*buffer)[:0])
	*buffer = body
	if errors.Is(err, errTooManyEntries) {
		return s.streamList(w, r, &wanted)
	}
	if err != nil {
		return err
	}
	s.writeJSON(w, r, body)
	return nil
}

// buffers are for answers while they are built.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxKeptBuffer {
		buffers.Put(buffer)
	}
}

// errTooManyEntries reports that an answer is not built in memory, but sent piece by piece.
var errTooManyEntries = errors.New("too many entries to hold them")

// holdList returns when something in the scope has changed since q.from, when the time is over, or when there is no use in waiting.
func (s *Server) holdList(ctx context.Context, q *listQuery, wanted *catalog.Scope) error {
	each := s.watches.begin(q.scope, q.destinations, wanted.Whole)
	if each == nil {
		return unavailable(time.Second, "more than %d single destinations are watched here", maxWatchedDestinations)
	}
	defer s.watches.end(each)
	timeout := time.NewTimer(q.hold)
	defer timeout.Stop()
	for isWaiting := false; ; {
		if q.scope != nil && !s.watches.isKnown(q.scope) {
			return errUnknownScope
		}
		s.listMu.RLock()
		changed, err := s.list.HasChanged(wanted, q.from)
		s.listMu.RUnlock()
		if changed || err != nil {
			return nil
		}
		if !isWaiting { // whatever changes from now on wakes it
			isWaiting = true
			s.figures.watchers.Add(1)
			defer s.figures.watchers.Add(-1)
		}
		select {
		case <-each.wake:
			s.figures.wakeUps.Add(1)
		case <-timeout.C:
			return nil
		case <-s.stopping:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// buildList builds an answer: what has changed since an index, or a snapshot.
func (s *Server) buildList(ctx context.Context, from int64, wanted *catalog.Scope, body []byte) ([]byte, error) {
	select {
	case s.building <- struct{}{}:
		defer func() { <-s.building }()
	case <-ctx.Done():
		return body, ctx.Err()
	}
	s.listMu.RLock()
	defer s.listMu.RUnlock()
	if from >= 0 {
		answer, err := s.appendChanges(body, from, wanted)
		if !errors.Is(err, catalog.ErrSnapshotNeeded) {
			return answer, s.explain(err, from)
		}
	}
	if s.list.Index() >= 0 && s.expectedEntries(wanted) > s.options.MaxBufferedEntries {
		return body, errTooManyEntries
	}
	body = appendListHeader(body, s.list.Index(), true)
	first := true
	err := s.list.VisitScope(wanted, func(e agent.Endpoint) {
		body = appendEntry(body, &e, first)
		first = false
	})
	s.figures.snapshots.Add(1)
	return append(body, closeList...), s.explain(err, from)
}

func (s *Server) appendChanges(body []byte, from int64, wanted *catalog.Scope) ([]byte, error) {
	body = appendListHeader(body, s.list.Index(), false)
	first := true
	err := s.list.VisitChanges(wanted, from, func(e agent.Endpoint) {
		body = appendEntry(body, &e, first)
		first = false
	})
	s.figures.deltas.Add(1)
	return append(body, closeList...), err
}

// expectedEntries is how many entries a scope has, if they are spread evenly.
func (s *Server) expectedEntries(wanted *catalog.Scope) int {
	if wanted.Whole {
		return math.MaxInt
	}
	return int(int64(wanted.Partitions.Len()) * int64(s.list.Len()) / int64(s.options.Layout.Partitions))
}

// explain is an error of the catalog as an answer.
func (s *Server) explain(err error, from int64) error {
	switch {
	case errors.Is(err, catalog.ErrNoList):
		return unavailable(time.Second, "this server has no list yet: ask another one")
	case errors.Is(err, catalog.ErrCatalogBehind):
		return unavailable(time.Second, "this server has index %d, which is behind %d: ask another one", s.list.Index(), from)
	}
	return err
}
