// Package api is what forwarders and control servers say to each other beside lists of endpoints: the bodies of docs/ownership.md.
package api

// Scope is the body that registers a scope.
type Scope struct {
	Partitions int    `json:"partitions"`
	Set        string `json:"set"`
}

// Members answers a watch of the members.
type Members struct {
	Epoch    string   `json:"epoch"` // whose index it is
	Index    int64    `json:"index"`
	Snapshot bool     `json:"snapshot"`
	LeaseMS  int64    `json:"lease_ms"`
	Members  []Member `json:"members"`
}

// Member is a forwarder that is a member, or is one no more.
type Member struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Status string `json:"status"` // Serving or Deleted
}

// States of a member.
const (
	Serving = "SERVING"
	Deleted = "DELETED"
)

const (
	// MaxLookupDestinations bounds the destinations of a look-up without a scope.
	MaxLookupDestinations = 256
	// MaxExtraDestinations bounds the destinations beside a scope.
	MaxExtraDestinations = 4096
	// UnknownScope is the text of a 404 for a scope that is not registered.
	UnknownScope = "unknown scope"
)
