package scale

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/standin"
)

// tap passes a forwarder's calls on to a control server, and notes what the answers tell of endpoints.
type tap struct {
	server *httptest.Server
	log    *standin.Log
}

func newTap(t *testing.T, to string, log *standin.Log) *tap {
	p := &tap{log: log}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.ModifyResponse = p.note
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) } // as the connection beyond it broke
	proxy.Transport = &http.Transport{DisableCompression: true}
	p.server = httptest.NewServer(proxy)
	p.server.Config.ErrorLog = nil
	t.Cleanup(p.server.Close)
	return p
}

func (p *tap) address() string { return p.server.Listener.Addr().String() }

// note reads a whole answer before it is passed on: one that is cut off is not.
func (p *tap) note(r *http.Response) error {
	if r.StatusCode != http.StatusOK || !strings.HasPrefix(r.Request.URL.Path, "/v1/servers") {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	r.Body.Close()
	r.Body = io.NopCloser(bytes.NewReader(body))
	var from io.Reader = bytes.NewReader(body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		if from, err = gzip.NewReader(from); err != nil {
			return err
		}
	}
	var l agent.List
	if err := json.NewDecoder(from).Decode(&l); err != nil {
		return err
	}
	var told []standin.Told
	for _, e := range l.Endpoints {
		told = append(told, standin.Told{Endpoint: e.Name, State: e.Status, At: time.Now()})
	}
	p.log.Tell(told)
	return nil
}
