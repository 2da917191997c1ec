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

// streamList sends a snapshot piece by piece: the list may change meanwhile, and whatever does has a later index than the answer.
func (s *Server) streamList(w http.ResponseWriter, r *http.Request, wanted *catalog.Scope) error {
	select {
	case s.wholeLists <- struct{}{}:
		defer func() { <-s.wholeLists }()
	default:
		return unavailable(5*time.Second, "large lists are sent to %d callers already", maxWholeLists)
	}
	s.figures.wholeLists.Add(1)
	w.Header().Set("Content-Type", "application/json")
	connection := http.NewResponseController(w)
	if !acceptsGzip(r) {
		s.writePieces(connection, w, s.piecesOf(wanted))
		return nil
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	s.writePieces(connection, compressor, s.piecesOf(wanted))
	compressor.Close()
	return nil
}

// nextPiece visits some entries more, under the list's lock; more is false at the end.
type nextPiece func(visit catalog.EndpointVisitor) (more bool)

// piecesOf goes over a scope.
func (s *Server) piecesOf(wanted *catalog.Scope) nextPiece {
	if wanted.Whole {
		next, more := 0, true
		return func(visit catalog.EndpointVisitor) bool {
			next, more = s.list.VisitSlots(next, slotsAtOnce, visit)
			return more
		}
	}
	rest, single := wanted.Partitions, wanted.DestinationsOutsidePartitions(s.options.Layout)
	return func(visit catalog.EndpointVisitor) bool {
		count := max(1, slotsAtOnce*s.options.Layout.Partitions/(s.list.Len()+1))
		var piece ownership.Set
		piece, rest = rest.Split(count)
		if piece.Len() == 0 {
			s.list.VisitDestinations(single, visit) // there is a list
			return false
		}
		s.list.VisitScope(&catalog.Scope{Partitions: piece}, visit) // there is a list
		return true
	}
}

// writePieces writes until the end, or until the caller is gone.
func (s *Server) writePieces(connection *http.ResponseController, to io.Writer, next nextPiece) {
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
			text = append(text, closeList...)
		}
		connection.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := to.Write(text); err != nil {
			return
		}
		text = text[:0]
	}
}
