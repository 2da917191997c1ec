package control

import (
	"bytes"
	"errors"
	"fmt"
	"github.com/klauspost/compress/gzip"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// httpError is an error that is sent to the client with its status and, if set, a Retry-After header.
type httpError struct {
	status     int
	text       string
	retryAfter time.Duration
}

func (p *httpError) Error() string { return p.text }

func badRequest(format string, args ...any) error {
	return &httpError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

func unavailable(retryAfter time.Duration, format string, args ...any) error {
	return &httpError{status: http.StatusServiceUnavailable, text: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// writeError responds with an error as plain text. An error that is not an httpError has status 500.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	p := &httpError{}
	if !errors.As(err, &p) {
		p = &httpError{status: http.StatusInternalServerError, text: err.Error()}
	}
	if p.retryAfter > 0 {
		seconds := max(1, int64((p.retryAfter+time.Second-1)/time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.counters.refused.Add(1)
	http.Error(w, p.text, p.status)
}

// compressors are pooled, since each allocates a megabyte. There are as many of them as responses are compressed at the same time.
var compressors = sync.Pool{New: func() any {
	compressor, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // NewWriterLevel fails only on an invalid level
	return compressor
}}

func acceptsGzip(r *http.Request) bool {
	for each := range strings.SplitSeq(r.Header.Get("Accept-Encoding"), ",") {
		coding, quality, _ := strings.Cut(strings.TrimSpace(each), ";")
		if strings.TrimSpace(coding) == "gzip" {
			return strings.TrimSpace(quality) != "q=0"
		}
	}
	return false
}

// writeJSON sends a response body, compressed if it is long enough and the client accepts that.
func (s *Server) writeJSON(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) < minCompressedBytes || !acceptsGzip(r) {
		s.writeEncoded(w, r, body, nil)
		return
	}
	prepareJSON(w)
	w.Header().Set("Content-Encoding", "gzip")
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	compressor.Write(body)
	compressor.Close()
}

// writeEncoded sends a response of which a compressed form may exist.
func (s *Server) writeEncoded(w http.ResponseWriter, r *http.Request, plain, compressed []byte) {
	prepareJSON(w)
	body := plain
	if compressed != nil && acceptsGzip(r) {
		body = compressed
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func prepareJSON(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // no client reads it, and it is a tenth of a small response
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// compress returns the compressed form of a response that is sent many times, or nil if it is too short to be compressed.
func compress(text []byte) []byte {
	if len(text) < minCompressedBytes {
		return nil
	}
	var to bytes.Buffer
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&to)
	compressor.Write(text)
	compressor.Close()
	return to.Bytes()
}
