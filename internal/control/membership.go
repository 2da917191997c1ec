package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"scaleroute/internal/control/api"
)

// memberQuery holds the parsed parameters of a members request.
type memberQuery struct {
	name, zone string
	peer       string // name of the control server that sends the request; name is empty then
	leave      bool
	epoch      string
	from       int64
	hold       time.Duration
}

func (s *Server) parseMemberQuery(values url.Values) (*memberQuery, error) {
	q := &memberQuery{name: values.Get("name"), zone: values.Get("zone"), peer: values.Get("peer"), epoch: values.Get("epoch"), leave: values.Get("leave") == "1"}
	if (q.name == "") == (q.peer == "") {
		return nil, badRequest("give the name of a forwarder as name, or that of a control server as peer")
	}
	if len(q.name) > maxNameLen || len(q.zone) > maxNameLen || len(q.peer) > maxNameLen {
		return nil, badRequest("name, zone or peer: at most %d bytes each", maxNameLen)
	}
	var err error
	if q.from, err = parseNumber(values, "from", -1); err != nil {
		return nil, err
	}
	if q.hold, err = s.parseHold(values); err != nil {
		return nil, err
	}
	q.hold = min(q.hold, s.options.Lease/3) // the next request must arrive within the lease
	return q, nil
}

// serveMembers renews the caller's lease and responds with the members, after a change of them if the request is held.
func (s *Server) serveMembers(w http.ResponseWriter, r *http.Request) error {
	q, err := s.parseMemberQuery(r.URL.Query())
	if err != nil {
		return err
	}
	if err := s.renewLease(q); err != nil {
		return err
	}
	if q.leave {
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	answer, err := s.awaitMembers(r.Context(), q)
	if err != nil {
		return err
	}
	s.writeEncoded(w, r, answer.plain, answer.compressed)
	return nil
}

// memberAnswer is an encoded response. Thousands of forwarders get the same one when members change or after a server has restarted.
type memberAnswer struct {
	plain, compressed []byte
	hasContent        bool // it is a snapshot or has changed members
}

// memberAnswerKey identifies a cached response until the next publication.
type memberAnswerKey struct {
	isPeer bool
	from   int64 // -1: a snapshot
}

// maxMemberAnswers bounds the responses that are cached until the next publication.
const maxMemberAnswers = 64

// encodeMembers returns the response to a query. It is built once and shared by all equal queries. The caller holds memberMu.
func (s *Server) encodeMembers(q *memberQuery) (*memberAnswer, error) {
	view := &s.members.fleetView
	if q.peer != "" {
		view = &s.members.ownView
	}
	key := memberAnswerKey{isPeer: q.peer != "", from: -1}
	if q.epoch == s.epoch && view.covers(q.from) {
		key.from = q.from
	}
	if cached := s.memberAnswers[key]; cached != nil {
		return cached, nil
	}
	body := &api.Members{Epoch: s.epoch, Index: view.index, Snapshot: key.from < 0, LeaseMS: s.options.Lease.Milliseconds()}
	if body.Snapshot {
		body.Members = view.allMembers()
	} else {
		body.Members = view.changedSince(key.from)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	answer := &memberAnswer{plain: text, compressed: compress(text), hasContent: body.Snapshot || len(body.Members) > 0}
	if len(s.memberAnswers) >= maxMemberAnswers {
		clear(s.memberAnswers)
	}
	s.memberAnswers[key] = answer
	return answer, nil
}

func (s *Server) renewLease(q *memberQuery) error {
	s.memberMu.Lock()
	defer s.memberMu.Unlock()
	switch {
	case q.leave && q.name != "":
		s.members.leave(q.name)
	case q.name != "" && !s.members.renew(q.name, q.zone, time.Now()):
		return unavailable(s.options.Lease, "there are %d members already, as many as are kept", maxMembers)
	}
	if !s.settled && (q.peer == "" || !s.restored) {
		left := s.options.Settle - time.Since(s.started)
		return unavailable(max(time.Second, left), "the members are still being gathered: ask again")
	}
	return nil
}

// awaitMembers returns a response once the members have changed, the hold time has expired, or the server stops.
func (s *Server) awaitMembers(ctx context.Context, q *memberQuery) (*memberAnswer, error) {
	timeout := time.NewTimer(q.hold)
	defer timeout.Stop()
	for isOver := q.hold <= 0; ; {
		answer, published, err := s.membersSince(q)
		if err != nil || isOver || answer.hasContent {
			return answer, err
		}
		select {
		case <-published:
		case <-timeout.C:
			isOver = true
		case <-s.stopping:
			isOver = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// membersSince returns the current response to a query, and a channel that is closed at the next publication.
func (s *Server) membersSince(q *memberQuery) (*memberAnswer, <-chan struct{}, error) {
	s.memberMu.Lock()
	defer s.memberMu.Unlock()
	answer, err := s.encodeMembers(q)
	return answer, s.published, err
}

// publishMembers publishes membership changes at a fixed interval, so that many simultaneous changes cost one response per waiting request.
func (s *Server) publishMembers(ctx context.Context) {
	tick := time.NewTicker(s.options.PublishEvery)
	defer tick.Stop()
	for {
		s.publishOnce(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) publishOnce(now time.Time) {
	s.memberMu.Lock()
	defer s.memberMu.Unlock()
	before := len(s.members.fleetView.zones)
	changed := s.members.publish(now)
	isSettled := s.settled || s.hasSettled(now)
	if changed {
		clear(s.memberAnswers)
		s.membersDirty = true
		if isSettled {
			slog.Info("fleet members changed", "members", len(s.members.fleetView.zones), "before", before, "leases_here", len(s.members.ownView.zones), "index", s.members.fleetView.index)
		}
	}
	if changed || isSettled != s.settled {
		s.settled = isSettled
		close(s.published)
		s.published = make(chan struct{})
	}
}

// hasSettled reports whether the members may be published: leases were restored and every peer has responded, or the settle time is over.
func (s *Server) hasSettled(now time.Time) bool {
	return s.restored && len(s.peersAnswered) == len(s.options.Peers) || now.Sub(s.started) >= s.options.Settle
}

// Bounds of the back-off after a failed request to a peer, and the time a response may take in addition to its hold time.
const (
	minPeerBackoff    = 100 * time.Millisecond
	maxPeerBackoff    = 2 * time.Second
	peerTimeoutMargin = 5 * time.Second
)

// followPeer keeps the leases held by another control server up to date until the context ends.
func (s *Server) followPeer(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	epoch, index, pause, isSilent := "", int64(-1), time.Duration(0), false
	for ctx.Err() == nil {
		answer, err := s.fetchPeerMembers(ctx, client, address, epoch, index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !isSilent {
				slog.Warn("peer control server does not answer: keeping its members for the duration of one lease", "peer", address, "lease", s.options.Lease, "err", err)
			}
			isSilent, pause = true, min(maxPeerBackoff, max(minPeerBackoff, 2*pause))
			sleep(ctx, time.Duration((0.5+rand.Float64()/2)*float64(pause)))
			continue
		}
		if isSilent {
			slog.Info("peer control server answers again", "peer", address)
		}
		isSilent, pause = false, 0
		epoch, index = answer.Epoch, answer.Index
		s.memberMu.Lock()
		s.members.applyPeerAnswer(address, answer, time.Now())
		s.peersAnswered[address] = true
		s.memberMu.Unlock()
	}
}

func (s *Server) fetchPeerMembers(ctx context.Context, client *http.Client, address, epoch string, index int64) (*api.Members, error) {
	hold := s.options.Lease / 3
	ctx, cancel := context.WithTimeout(ctx, hold+peerTimeoutMargin)
	defer cancel()
	query := url.Values{"peer": {s.options.Name}}
	if index >= 0 {
		query.Set("epoch", epoch)
		query.Set("from", fmt.Sprint(index))
		query.Set("hold_ms", fmt.Sprint(hold.Milliseconds()))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/members?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	var answer api.Members
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPeerAnswer)).Decode(&answer); err != nil {
		return nil, err
	}
	if answer.Epoch == "" {
		return nil, errors.New("response has no epoch: check that the peer address is that of a control server")
	}
	return &answer, nil
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
