// Package api defines the messages between forwarders and control servers other than endpoint lists, and their limits.
// docs/ownership.md describes the calls that carry them.
package api

// Scope is the request body that registers a scope, that is, a set of partitions.
type Scope struct {
	Partitions int    `json:"partitions"`
	Set        string `json:"set"`
}

// Members is the answer to a watch of the members.
type Members struct {
	Epoch    string   `json:"epoch"` // identifies the server run that the index belongs to
	Index    int64    `json:"index"`
	Snapshot bool     `json:"snapshot"`
	LeaseMS  int64    `json:"lease_ms"`
	Members  []Member `json:"members"`
}

// Member is a forwarder that is a member, or that has ceased to be one.
type Member struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Status string `json:"status"` // Serving or Deleted
}

// Values of Member.Status.
const (
	Serving = "SERVING"
	Deleted = "DELETED"
)

const (
	// MaxLookupDestinations is the maximum number of destinations in a look-up without a scope.
	MaxLookupDestinations = 256
	// MaxExtraDestinations is the maximum number of destinations that are requested in addition to a scope.
	MaxExtraDestinations = 4096
	// UnknownScope is the body of the 404 response to a request for a scope that is not registered.
	UnknownScope = "unknown scope"
)
