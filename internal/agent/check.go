package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
)

// Lists from discovery are validated before they take effect: an invalid list is rejected as a whole, and an invalid entry of a valid list is skipped.
// Neither empties the list in force, returns a draining endpoint to service, or ends the process.

// maxWeight is the largest accepted weight, in calls per second.
const maxWeight = 1e9

// Serving is the state of an endpoint that accepts calls.
const Serving = "SERVING"

// readList decodes a list while it arrives, so that a large one is not held in memory twice. With whole set, it is a snapshot whatever it says.
func readList(from io.Reader, whole bool) (*List, error) {
	var fields struct {
		Index     *int64      `json:"index"`
		Snapshot  bool        `json:"snapshot"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.NewDecoder(from).Decode(&fields); err != nil {
		return nil, err
	}
	whole = whole || fields.Snapshot
	switch {
	case fields.Index == nil:
		return nil, errors.New("no index: discovery has to give each list a version")
	case *fields.Index < 0:
		return nil, fmt.Errorf("index %d: a version can't be negative", *fields.Index)
	case whole && fields.Endpoints == nil:
		return nil, errors.New("snapshot without endpoints: where there are none, discovery has to send an empty list of them")
	}
	l := &List{Index: *fields.Index, Snapshot: whole}
	if fields.Endpoints == nil {
		return l, nil
	}
	l.Endpoints = (*fields.Endpoints)[:0]
	for i, e := range *fields.Endpoints {
		if err := e.Validate(); err != nil {
			slog.Warn("invalid entry of discovery's list skipped", "index", l.Index, "entry", i, "name", fmt.Sprintf("%.80q", e.Name), "err", err)
			continue
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	return l, nil
}

// Validate returns an error if an entry is invalid. Of a draining or deleted endpoint only the name is checked, since it gets no new calls.
func (e *Endpoint) Validate() error {
	if e.Name == "" {
		return errors.New("name is empty")
	}
	switch e.Status {
	case Draining, Deleted:
		return nil
	case Serving, "":
	default:
		return fmt.Errorf("status %.40q is none of %s, %s and %s", e.Status, Serving, Draining, Deleted)
	}
	if _, port, err := net.SplitHostPort(e.Address); err != nil || port == "" {
		return fmt.Errorf("address %.80q is not of the form host:port", e.Address)
	}
	if e.Group < 0 {
		return fmt.Errorf("group %d: a destination can't be negative", e.Group)
	}
	if !(e.Weight >= 0 && e.Weight <= maxWeight) {
		return fmt.Errorf("weight %g is not from 0 to %g", e.Weight, maxWeight)
	}
	return nil
}
