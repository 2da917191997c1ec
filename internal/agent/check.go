package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
)

// What discovery says is checked before it counts: a list that can't be right is not heeded, and one entry that can't be right is left out of one
// that can. Neither empties the list in force, has a target that drains serve again, or ends the process.

// mostWeight is the largest weight that is believed: calls a second.
const mostWeight = 1e9

// Serving is the state of a target that takes calls.
const Serving = "SERVING"

// readList reads a list as it comes: a large one need not be held twice. What is whole says so whatever the list does.
func readList(from io.Reader, whole bool) (*List, error) {
	var in struct {
		Index     *int64      `json:"index"`
		Snapshot  bool        `json:"snapshot"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.NewDecoder(from).Decode(&in); err != nil {
		return nil, err
	}
	whole = whole || in.Snapshot
	switch {
	case in.Index == nil:
		return nil, errors.New("it says no index: discovery owes each list its version")
	case *in.Index < 0:
		return nil, fmt.Errorf("index %d: a version is 0 or more", *in.Index)
	case whole && in.Endpoints == nil:
		return nil, errors.New("a whole list without endpoints: where there are none, it owes an empty list of them")
	}
	l := &List{Index: *in.Index, Snapshot: whole}
	if in.Endpoints == nil {
		return l, nil
	}
	l.Endpoints = (*in.Endpoints)[:0]
	for i, e := range *in.Endpoints {
		if err := e.Validate(); err != nil {
			slog.Warn("an entry of discovery's list is left out", "index", l.Index, "entry", i, "name", fmt.Sprintf("%.80q", e.Name), "err", err)
			continue
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	return l, nil
}

// Validate says what can't be right in an entry. Of one that is to get nothing new, only its name counts.
func (e *Endpoint) Validate() error {
	if e.Name == "" {
		return errors.New("name: it has none")
	}
	switch e.Status {
	case Draining, Deleted:
		return nil
	case Serving, "":
	default:
		return fmt.Errorf("status %.40q: one of %s, %s and %s is known", e.Status, Serving, Draining, Deleted)
	}
	if _, port, err := net.SplitHostPort(e.Address); err != nil || port == "" {
		return fmt.Errorf("address %.80q: no host and port", e.Address)
	}
	if e.Group < 0 {
		return fmt.Errorf("group %d: a destination is 0 or more", e.Group)
	}
	if !(e.Weight >= 0 && e.Weight <= mostWeight) {
		return fmt.Errorf("weight %g: from 0 to %g", e.Weight, mostWeight)
	}
	return nil
}
