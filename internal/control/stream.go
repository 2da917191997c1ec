package control

import (
	"github.com/klauspost/compress/gzip"
	"io"
	"net/http"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

// streamList sends a snapshot in chunks. The list may change meanwhile; an entry that changes has a later index than the response.
func (s *Server) streamList(w http.ResponseWriter, r *http.Request, scope *catalog.Scope) error {
	select {
	case s.streamSlots <- struct{}{}:
		defer func() { <-s.streamSlots }()
	default:
		return unavailable(5*time.Second, "large lists are sent to %d callers already", maxStreamedLists)
	}
	s.counters.streamedLists.Add(1)
	w.Header().Set("Content-Type", "application/json")
	connection := http.NewResponseController(w)
	if !acceptsGzip(r) {
		s.writeChunks(connection, w, s.chunksOf(scope))
		return nil
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	s.writeChunks(connection, compressor, s.chunksOf(scope))
	compressor.Close()
	return nil
}

// nextChunk visits the next entries. The caller holds the list's lock. more is false after the last chunk.
type nextChunk func(visit catalog.EndpointVisitor) (more bool)

// chunksOf returns an iterator over the entries of a scope.
func (s *Server) chunksOf(scope *catalog.Scope) nextChunk {
	if scope.Whole {
		next, more := 0, true
		return func(visit catalog.EndpointVisitor) bool {
			next, more = s.list.VisitSlots(next, slotsPerLock, visit)
			return more
		}
	}
	remaining, single := scope.Partitions, scope.DestinationsOutsidePartitions(s.options.Layout)
	return func(visit catalog.EndpointVisitor) bool {
		count := max(1, slotsPerLock*s.options.Layout.Partitions/(s.list.Len()+1))
		var chunk ownership.Set
		chunk, remaining = remaining.Split(count)
		if chunk.Len() == 0 {
			s.list.VisitDestinations(single, visit) // it can't fail: a list has been received
			return false
		}
		s.list.VisitScope(&catalog.Scope{Partitions: chunk}, visit) // it can't fail: a list has been received
		return true
	}
}

// writeChunks writes all chunks, or stops at a write error because the client has disconnected.
func (s *Server) writeChunks(connection *http.ResponseController, to io.Writer, next nextChunk) {
	text := appendListHeader(nil, s.index(), true)
	first := true
	for more := true; more; {
		s.listMu.RLock()
		more = next(func(e agent.Endpoint) {
			text = appendEntry(text, &e, first)
			first = false
		})
		s.listMu.RUnlock()
		if !more {
			text = append(text, listEnd...)
		}
		connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := to.Write(text); err != nil {
			return
		}
		text = text[:0]
	}
}
