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

// memberQuery is what a call for the members asks.
type memberQuery struct {
	name, zone string
	peer       string // a control server that asks; then name is empty
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
	q.hold = min(q.hold, s.options.Lease/3) // so that the next call comes within the lease
	return q, nil
}

// serveMembers renews a lease and watches the members.
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

// memberAnswer is an answer as it is sent. Thousands get the same one when members change, or when a server has restarted.
type memberAnswer struct {
	plain, compressed []byte
	isNews            bool // it has members, or is a snapshot
}

// memberAnswerKey is what an answer depends on, as long as nothing is published.
type memberAnswerKey struct {
	isPeer bool
	from   int64 // -1: a snapshot
}

// maxMemberAnswers bounds the answers that are kept until the next publication.
const maxMemberAnswers = 64

// encodeMembers is the answer to a query, built once for all who ask the same. The lock is held.
func (s *Server) encodeMembers(q *memberQuery) (*memberAnswer, error) {
	view := &s.members.all
	if q.peer != "" {
		view = &s.members.held
	}
	key := memberAnswerKey{isPeer: q.peer != "", from: -1}
	if q.epoch == s.epoch && view.covers(q.from) {
		key.from = q.from
	}
	if known := s.memberAnswers[key]; known != nil {
		return known, nil
	}
	body := &api.Members{Epoch: s.epoch, Index: view.index, Snapshot: key.from < 0, LeaseMS: s.options.Lease.Milliseconds()}
	if body.Snapshot {
		body.Members = view.everybody()
	} else {
		body.Members = view.changedSince(key.from)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	answer := &memberAnswer{plain: text, compressed: compress(text), isNews: body.Snapshot || len(body.Members) > 0}
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

// awaitMembers waits for a change of the members, or for the end of the time.
func (s *Server) awaitMembers(ctx context.Context, q *memberQuery) (*memberAnswer, error) {
	timeout := time.NewTimer(q.hold)
	defer timeout.Stop()
	for isOver := q.hold <= 0; ; {
		answer, published, err := s.membersSince(q)
		if err != nil || isOver || answer.isNews {
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

// membersSince is an answer as of now, and what is closed when there is another one.
func (s *Server) membersSince(q *memberQuery) (*memberAnswer, <-chan struct{}, error) {
	s.memberMu.Lock()
	defer s.memberMu.Unlock()
	answer, err := s.encodeMembers(q)
	return answer, s.published, err
}

// publishMembers makes public what has changed, from time to time: many changes at once are one answer for each who waits.
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
	before := len(s.members.all.zones)
	changed := s.members.publish(now)
	isSettled := s.settled || s.hasSettled(now)
	if changed {
		clear(s.memberAnswers)
		s.membersToSave = true
		if isSettled {
			slog.Info("the members have changed", "members", len(s.members.all.zones), "before", before, "leases_here", len(s.members.held.zones), "index", s.members.all.index)
		}
	}
	if changed || isSettled != s.settled {
		s.settled = isSettled
		close(s.published)
		s.published = make(chan struct{})
	}
}

// hasSettled reports whether the members that are known are all that there are, as far as can be known.
func (s *Server) hasSettled(now time.Time) bool {
	return s.restored && len(s.peersAnswered) == len(s.options.Peers) || now.Sub(s.started) >= s.options.Settle
}

// Waits between two calls to a peer that fail.
const (
	firstPeerPause = 100 * time.Millisecond
	maxPeerPause   = 2 * time.Second
	peerMargin     = 5 * time.Second // what an answer may take beside its hold
)

// followPeer watches whose leases another control server holds.
func (s *Server) followPeer(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	epoch, index, pause, isSilent := "", int64(-1), time.Duration(0), false
	for ctx.Err() == nil {
		answer, err := s.askPeer(ctx, client, address, epoch, index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !isSilent {
				slog.Warn("a control server does not answer: its members are kept for one lease", "peer", address, "lease", s.options.Lease, "err", err)
			}
			isSilent, pause = true, min(maxPeerPause, max(firstPeerPause, 2*pause))
			sleep(ctx, time.Duration((0.5+rand.Float64()/2)*float64(pause)))
			continue
		}
		if isSilent {
			slog.Info("a control server answers again", "peer", address)
		}
		isSilent, pause = false, 0
		epoch, index = answer.Epoch, answer.Index
		s.memberMu.Lock()
		s.members.applyPeerAnswer(address, answer, time.Now())
		s.peersAnswered[address] = true
		s.memberMu.Unlock()
	}
}

func (s *Server) askPeer(ctx context.Context, client *http.Client, address, epoch string, index int64) (*api.Members, error) {
	hold := s.options.Lease / 3
	ctx, cancel := context.WithTimeout(ctx, hold+peerMargin)
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
		return nil, errors.New("an answer without an epoch: is that a control server?")
	}
	return &answer, nil
}

// sleep waits so long, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
