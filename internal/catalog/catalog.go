// Package catalog stores the whole list of endpoints for a control server: compactly, indexed by partition, and with a bounded log of changes.
//
// It is a plain data structure without I/O, clock or locks. The caller must keep a writer from running at the same time as readers or another writer; readers may
// run concurrently.
package catalog

import (
	"errors"
	"fmt"
	"math"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// Limits bound the size of a catalog.
type Limits struct {
	Entries int // number of endpoints
	Changes int // number of entries in the change log
}

// DefaultLimits allow several times the planned size of the list.
var DefaultLimits = Limits{Entries: 8 << 20, Changes: 128 << 10}

// Limits of one entry. Put returns an error for an entry that exceeds one.
const (
	maxNameLen    = 1 << 10
	maxAddressLen = 1 << 10
	maxGroup      = math.MaxUint32
)

// Errors that Begin and the methods that read changes return.
var (
	ErrNoList         = errors.New("no list yet")
	ErrCatalogBehind  = errors.New("the list here is older than the requested index")
	ErrSnapshotNeeded = errors.New("the changes since the requested index are no longer known")
	ErrStaleChanges   = errors.New("the changes have an older index than the list")
)

// Catalog is the whole list of endpoints, its index and the log of its last changes.
type Catalog struct {
	layout       ownership.Layout
	limits       Limits
	entries      *store
	log          changeLog
	index        int64 // index of the list; -1: there is no list yet
	highestIndex int64 // highest index that the list had before an index reset; -1: there was no reset
	pending      pendingList
}

// pendingList describes a list between Begin and Commit.
type pendingList struct {
	open     bool
	index    int64
	snapshot bool
	seen     bitmap // slots of the entries that a snapshot has named so far
}

// New creates an empty catalog.
func New(layout ownership.Layout, limits Limits) *Catalog {
	return &Catalog{layout: layout, limits: limits, entries: newStore(layout), log: newChangeLog(limits.Changes), index: -1, highestIndex: -1}
}

// Index returns the index of the list, or -1 if there is no list yet.
func (c *Catalog) Index() int64 { return c.index }

// HighestIndex returns the highest index that the list had before discovery restarted its indexes at a lower value, or -1 if that has never happened.
func (c *Catalog) HighestIndex() int64 { return c.highestIndex }

// Len returns the number of endpoints.
func (c *Catalog) Len() int { return c.entries.len() }

// Layout returns how the destinations are split into partitions.
func (c *Catalog) Layout() ownership.Layout { return c.layout }

// ChangedDestinations tells which destinations a list has changed.
type ChangedDestinations struct {
	All          bool     // any destination may have changed: the log can't hold all changes, or the list is the first one or has a lower index
	Destinations []uint32 // may contain duplicates
}

// Begin starts to apply a list, which is either a snapshot or a set of changes. The caller passes its entries to Put and then calls Commit. If the previous list was
// not committed, its transfer was cut off: entries that it has put stay, since they are newer than what was there, and the next list repeats them. Begin accepts a
// snapshot with an older index; the caller decides whether to trust it.
func (c *Catalog) Begin(index int64, snapshot bool) error {
	c.pending = pendingList{}
	if c.index < 0 && !snapshot {
		return ErrNoList
	}
	if index < c.index && !snapshot {
		return ErrStaleChanges
	}
	c.pending = pendingList{open: true, index: index, snapshot: snapshot}
	return nil
}

// Put applies one entry of the list. It returns an error that names the entry if the entry is invalid; the other entries are not affected.
func (c *Catalog) Put(e agent.Endpoint) error {
	if !c.pending.open {
		return errors.New("an entry was put before a list was begun")
	}
	if err := c.put(e); err != nil {
		return fmt.Errorf("endpoint %.80q: %w", e.Name, err)
	}
	return nil
}

// KeepExisting handles an entry of the list that could not be read: an existing entry with this name stays, even if the list is a snapshot.
func (c *Catalog) KeepExisting(name string) {
	if slot, known := c.entries.find(name); known && c.pending.open {
		c.markSeen(slot)
	}
}

func (c *Catalog) put(e agent.Endpoint) error {
	slot, known := c.entries.find(e.Name)
	if known && e.Status != agent.Deleted {
		c.markSeen(slot) // even if the new state is invalid: the entry then stays as it was
	}
	if err := e.Validate(); err != nil {
		return err
	}
	if e.Status == agent.Deleted {
		if known {
			c.delete(slot)
		}
		return nil
	}
	if known {
		e = c.fillIn(slot, e)
	}
	if err := c.checkSize(e); err != nil {
		return err
	}
	if !known {
		return c.add(e)
	}
	return c.replace(slot, e)
}

// fillIn completes a draining entry that has no address: the other fields come from the existing entry.
func (c *Catalog) fillIn(slot slot, e agent.Endpoint) agent.Endpoint {
	if e.Status != agent.Draining || e.Address != "" {
		return e
	}
	full := c.entries.endpoint(slot)
	full.Status = agent.Draining
	return full
}

func (c *Catalog) checkSize(e agent.Endpoint) error {
	switch {
	case len(e.Name) > maxNameLen:
		return fmt.Errorf("a name of %d bytes: %d at most", len(e.Name), maxNameLen)
	case len(e.Address) > maxAddressLen:
		return fmt.Errorf("an address of %d bytes: %d at most", len(e.Address), maxAddressLen)
	case e.Group < 0 || int64(e.Group) > maxGroup:
		return fmt.Errorf("group %d: a destination is from 0 to %d", e.Group, int64(maxGroup))
	}
	return nil
}

func (c *Catalog) add(e agent.Endpoint) error {
	if c.entries.len() >= c.limits.Entries {
		return fmt.Errorf("the catalog has its maximum of %d endpoints already", c.limits.Entries)
	}
	slot, err := c.entries.add(e)
	if err != nil {
		return err
	}
	c.markSeen(slot)
	c.logChange(slot)
	return nil
}

func (c *Catalog) replace(slot slot, e agent.Endpoint) error {
	before := c.entries.endpoint(slot)
	if before == e {
		return nil
	}
	if before.Group != e.Group { // clients whose scope has only the former destination must learn that the endpoint has left it
		c.logChange(slot)
	}
	if err := c.entries.replace(slot, e); err != nil {
		return err
	}
	c.logChange(slot)
	return nil
}

func (c *Catalog) delete(slot slot) {
	c.logChange(slot)
	c.entries.delete(slot)
}

// logChange adds a change of an entry to the log. It logs nothing for the first list, since no client has an older one.
func (c *Catalog) logChange(slot slot) {
	if c.index >= 0 {
		record := c.entries.at(slot)
		c.log.add(changeEntry{name: record.name(), group: record.group})
	}
}

// markSeen records that the pending snapshot contains an entry.
func (c *Catalog) markSeen(slot slot) {
	if c.pending.snapshot {
		c.pending.seen.set(slot)
	}
}

// Commit completes the pending list and sets its index. If the list is a snapshot, Commit first deletes the entries that it did not contain.
func (c *Catalog) Commit() (ChangedDestinations, error) {
	if !c.pending.open {
		return ChangedDestinations{}, errors.New("a list was committed before it was begun")
	}
	if c.pending.snapshot {
		c.deleteUnseen()
	}
	index := c.pending.index
	c.pending = pendingList{}
	if c.index < 0 || index < c.index {
		c.highestIndex = max(c.highestIndex, c.index)
		c.index = index
		c.log.reset(index)
		return ChangedDestinations{All: true}, nil
	}
	if index == c.index { // changes without a new index stay in the log until the next one: clients that have this index could not request them
		return ChangedDestinations{}, nil
	}
	c.index = index
	return c.log.commit(index), nil
}

func (c *Catalog) deleteUnseen() {
	for slot := range c.entries.slots() {
		if c.entries.at(slot).used() && !c.pending.seen.has(slot) {
			c.delete(slot)
		}
	}
}

// Apply applies a complete list. refused has one error for each invalid entry; err concerns the list as a whole.
func (c *Catalog) Apply(list *agent.List) (changed ChangedDestinations, refused []error, err error) {
	if err := c.Begin(list.Index, list.Snapshot); err != nil {
		return ChangedDestinations{}, nil, err
	}
	for _, e := range list.Endpoints {
		if err := c.Put(e); err != nil {
			refused = append(refused, err)
		}
	}
	changed, err = c.Commit()
	return changed, refused, err
}

// Restore begins to load a saved list into an empty catalog. The caller passes the entries to Put and then calls Commit, as after Begin.
func (c *Catalog) Restore(index, highest int64) error {
	if c.index >= 0 || c.Len() > 0 {
		return errors.New("a list can be restored only into an empty catalog")
	}
	c.highestIndex = highest
	return c.Begin(index, true)
}
