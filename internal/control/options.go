// Package control is the I/O of a control server: it watches discovery's list, keeps it whole in a catalog and in a folder, serves each forwarder
// the part that it asks for, and keeps the leases of the fleet's members. docs/ownership.md fixes its calls, docs/control-server.md is for operators.
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

// Options are the settings of a server. A number or time that is 0 has its default.
type Options struct {
	Name     string // of this server, for its peers
	Upstream string // host:port of discovery
	StateDir string // where the list is kept
	Layout   ownership.Layout
	Peers    []string // host:port of the other control servers

	Lease              time.Duration // of a member
	Settle             time.Duration // how long members are gathered before they are published, where none are known from before
	PublishEvery       time.Duration // between two publications of the members
	SaveEvery          time.Duration // the list is written, if it has changed
	MaxHold            time.Duration // a watch is held
	MaxRequests        int           // at the same time, held ones included
	MaxScopes          int
	MaxScopePartitions int // in all scopes together
	MaxBufferedEntries int // entries of a snapshot that is built in memory; a larger one is sent piece by piece
	Limits             catalog.Limits
	Stream             agent.StreamLimits
}

// Bounds that are not set by operators.
const (
	maxMembers             = 1 << 16
	maxMemberChanges       = 1 << 14
	maxNameLen             = 256         // of a member or a zone
	maxScopeBody           = 8 << 20     // bytes
	maxWholeLists          = 4           // sent at the same time
	maxWatchedDestinations = 1 << 20     // single ones, in all watches that are held
	maxPeers               = 16          //
	maxPeerAnswer          = 64 << 20    // bytes
	minCompressed          = 1 << 10     // bytes: a shorter answer is sent as it is
	maxKeptBuffer          = 4 << 20     // bytes of a buffer that is used again
	slotsAtOnce            = 512         // of the list, under one lock
	maxHeaderBytes         = 64 << 10    //
	writeTime              = time.Minute // for an answer, or a piece of the whole list
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

// Validate says what is wrong with the options, with the remedy.
func (o *Options) Validate() error {
	if o.Name == "" || len(o.Name) > maxNameLen {
		return fmt.Errorf("name: %d bytes; give each control server a name of its own, of 1 to %d bytes", len(o.Name), maxNameLen)
	}
	if o.StateDir == "" {
		return errors.New("state: name a folder in which the list is kept over a restart")
	}
	if err := checkAddress("upstream", o.Upstream); err != nil {
		return err
	}
	if len(o.Peers) > maxPeers {
		return fmt.Errorf("peers: %d, at most %d", len(o.Peers), maxPeers)
	}
	for _, peer := range o.Peers {
		if err := checkAddress("peers", peer); err != nil {
			return err
		}
	}
	if o.Lease < 0 || o.Lease > time.Hour || o.Lease != 0 && o.Lease < 50*time.Millisecond {
		return fmt.Errorf("lease %v: from 50ms to 1h", o.Lease)
	}
	if o.MaxRequests < 0 || o.MaxRequests > math.MaxInt32 {
		return fmt.Errorf("max-requests %d: from 1 to %d", o.MaxRequests, math.MaxInt32)
	}
	return o.Layout.Validate()
}

func checkAddress(setting, address string) error {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
		return fmt.Errorf("%s %.80q: give host:port", setting, address)
	}
	return nil
}
