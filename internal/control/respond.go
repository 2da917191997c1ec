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

// problem is an answer that is an error.
type problem struct {
	status     int
	text       string
	retryAfter time.Duration
}

func (p *problem) Error() string { return p.text }

func badRequest(format string, args ...any) error {
	return &problem{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

func unavailable(retryAfter time.Duration, format string, args ...any) error {
	return &problem{status: http.StatusServiceUnavailable, text: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// writeProblem answers with an error in plain text.
func (s *Server) writeProblem(w http.ResponseWriter, err error) {
	p := &problem{}
	if !errors.As(err, &p) {
		p = &problem{status: http.StatusInternalServerError, text: err.Error()}
	}
	if p.retryAfter > 0 {
		seconds := max(1, int64((p.retryAfter+time.Second-1)/time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.figures.refused.Add(1)
	http.Error(w, p.text, p.status)
}

// compressors are kept: each has a megabyte of its own. They are as many as answers are built at the same time.
var compressors = sync.Pool{New: func() any {
	compressor, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is known
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

// writeJSON sends an answer that is in memory.
func (s *Server) writeJSON(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) < minCompressed || !acceptsGzip(r) {
		s.writeEncoded(w, r, body, nil)
		return
	}
	beginJSON(w)
	w.Header().Set("Content-Encoding", "gzip")
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	compressor.Write(body)
	compressor.Close()
}

// writeEncoded sends an answer of which there may be a compressed form.
func (s *Server) writeEncoded(w http.ResponseWriter, r *http.Request, plain, compressed []byte) {
	beginJSON(w)
	body := plain
	if compressed != nil && acceptsGzip(r) {
		body = compressed
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func beginJSON(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // nobody reads it, and it is a tenth of a small answer
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
}

// compress is the compressed form of an answer that is sent many times; nil where it is too short.
func compress(text []byte) []byte {
	if len(text) < minCompressed {
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
