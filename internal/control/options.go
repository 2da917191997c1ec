// Package control implements the I/O of a control server. The server watches discovery's endpoint list, stores all of it in a catalog and in a state
// folder, serves each forwarder the part that it requests, and holds the leases of the fleet's members. docs/ownership.md specifies the requests;
// docs/control-server.md is for operators.
package control

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

// Options are the settings of a server. A number or duration of 0 means the default.
type Options struct {
	Name     string // identifies this server to its peers
	Upstream string // host:port of discovery
	StateDir string // state folder: the list and the leases are persisted in it
	Layout   ownership.Layout
	Peers    []string // host:port of the other control servers

	Lease              time.Duration // how long a member stays in the fleet after its last request
	Settle             time.Duration // how long the server waits for members to call before it publishes them, unless it has stored leases and all peers have responded
	PublishEvery       time.Duration // interval of the publications of members
	SaveEvery          time.Duration // interval of list snapshots, if the list has changed
	MaxHold            time.Duration // longest time for which a request is held
	MaxRequests        int           // served at the same time, held ones included
	MaxScopes          int
	MaxScopePartitions int // partitions in all registered scopes together
	MaxBufferedEntries int // entries of the largest snapshot that is built in memory; a larger one is streamed
	Limits             catalog.Limits
	Stream             agent.StreamLimits
}

// Limits that operators can't set.
const (
	maxMembers             = 1 << 16
	maxMemberChanges       = 1 << 14
	maxNameLen             = 256     // of a member, a peer or a zone
	maxScopeBody           = 8 << 20 // bytes
	maxStreamedLists       = 4       // streamed at the same time
	maxWatchedDestinations = 1 << 20 // single destinations watched in all held requests together
	maxPeers               = 16
	maxPeerAnswer          = 64 << 20    // bytes
	minCompressedBytes     = 1 << 10     // a shorter response is sent uncompressed
	maxPooledBuffer        = 4 << 20     // bytes: a larger buffer is not reused
	slotsPerLock           = 512         // list slots visited while the lock is held once
	maxHeaderBytes         = 64 << 10    // bytes
	writeTimeout           = time.Minute // for a response, or one chunk of a streamed list
)

func (o *Options) setDefaults() {
	setDefault(&o.Layout.Partitions, 1<<21)
	setDefault(&o.Layout.Replicas, 3)
	setDefault(&o.Lease, 30*time.Second)
	setDefault(&o.Settle, 3*time.Second)
	setDefault(&o.PublishEvery, time.Second)
	setDefault(&o.SaveEvery, 5*time.Minute)
	setDefault(&o.MaxHold, time.Minute)
	setDefault(&o.MaxRequests, 16<<10)
	setDefault(&o.MaxScopes, 32<<10)
	setDefault(&o.MaxScopePartitions, 64<<20)
	setDefault(&o.MaxBufferedEntries, 20_000)
	if o.Limits == (catalog.Limits{}) {
		o.Limits = catalog.DefaultLimits
	}
	setDefault(&o.Stream.MaxBytes, 4<<30)
	setDefault(&o.Stream.FirstByteTimeout, time.Minute)
	setDefault(&o.Stream.IdleTimeout, 10*time.Second)
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

// Validate returns an error that names the invalid option and its remedy.
func (o *Options) Validate() error {
	if o.Name == "" || len(o.Name) > maxNameLen {
		return fmt.Errorf("name: has %d bytes; give each control server a unique name of 1 to %d bytes", len(o.Name), maxNameLen)
	}
	if o.StateDir == "" {
		return errors.New("state: set a folder in which the list is stored across restarts")
	}
	if err := checkAddress("upstream", o.Upstream); err != nil {
		return err
	}
	if len(o.Peers) > maxPeers {
		return fmt.Errorf("peers: %d given, at most %d are allowed", len(o.Peers), maxPeers)
	}
	for _, peer := range o.Peers {
		if err := checkAddress("peers", peer); err != nil {
			return err
		}
	}
	if o.Lease < 0 || o.Lease > time.Hour || o.Lease != 0 && o.Lease < 50*time.Millisecond {
		return fmt.Errorf("lease %v: must be from 50ms to 1h", o.Lease)
	}
	if o.MaxRequests < 0 || o.MaxRequests > math.MaxInt32 {
		return fmt.Errorf("max-requests %d: must be from 1 to %d", o.MaxRequests, math.MaxInt32)
	}
	return o.Layout.Validate()
}

func checkAddress(setting, address string) error {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
		return fmt.Errorf("%s %.80q: must be host:port", setting, address)
	}
	return nil
}
