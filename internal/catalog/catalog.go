// Package catalog holds the whole list of endpoints in a compact form, by partition, with a bounded log of changes, for the control servers.
//
// It is a plain data structure: no I/O, no clock, no lock. Its caller keeps writers apart from readers; readers may run beside each other.
package catalog

import (
	"errors"
	"fmt"
	"math"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// Limits bound a catalog.
type Limits struct {
	Entries int // endpoints
	Changes int // entries of the change log
}

// DefaultLimits are several times the size that is planned for.
var DefaultLimits = Limits{Entries: 8 << 20, Changes: 128 << 10}

// What one entry may be at most; what is longer is refused.
const (
	maxNameLen    = 1 << 10
	maxAddressLen = 1 << 10
	maxGroup      = math.MaxUint32
)

// Errors of Begin and Since.
var (
	ErrNoList         = errors.New("no list yet")
	ErrCatalogBehind  = errors.New("the list here is older than the one asked from")
	ErrSnapshotNeeded = errors.New("what has changed since then is not known any more")
	ErrStaleChanges   = errors.New("changes with an older index than the list's")
)

// Catalog is the whole list.
type Catalog struct {
	layout  ownership.Layout
	limits  Limits
	entries *store
	log     changeLog
	index   int64 // of the list; -1: none yet
	highest int64 // the highest index before it went back; -1: it never did
	update  update
}

// update is a list that is being taken over.
type update struct {
	open     bool
	index    int64
	snapshot bool
	seen     bitmap // the entries that a snapshot has named
}

// New makes an empty catalog.
func New(layout ownership.Layout, limits Limits) *Catalog {
	return &Catalog{layout: layout, limits: limits, entries: newStore(layout), log: newChangeLog(limits.Changes), index: -1, highest: -1}
}

// Index is the index of the list, -1 where there is none yet.
func (c *Catalog) Index() int64 { return c.index }

// HighestIndex is the highest index that the list had before discovery counted anew, -1 where it never did.
func (c *Catalog) HighestIndex() int64 { return c.highest }

// Len is how many endpoints there are.
func (c *Catalog) Len() int { return c.entries.len() }

// Layout is how the destinations are split.
func (c *Catalog) Layout() ownership.Layout { return c.layout }

// ChangedDestinations says whose part a list has changed.
type ChangedDestinations struct {
	All          bool     // there are too many to name
	Destinations []uint32 // destinations, some more than once
}

// Begin starts to take over a list: a snapshot, or what changed. Entries follow with Put, and Commit ends it. A list that was begun before and not
// committed was cut off: what it has put stays, as it is newer than what was there, and the next list repeats it. A snapshot with an older index
// is believed: whether it is to be is the caller's decision.
func (c *Catalog) Begin(index int64, snapshot bool) error {
	c.update = update{}
	if c.index < 0 && !snapshot {
		return ErrNoList
	}
	if index < c.index && !snapshot {
		return ErrStaleChanges
	}
	c.update = update{open: true, index: index, snapshot: snapshot}
	return nil
}

// Put takes over one entry. One that can't be right is refused alone, with an error that names it.
func (c *Catalog) Put(e agent.Endpoint) error {
	if !c.update.open {
		return errors.New("no list is being taken over")
	}
	if err := c.put(e); err != nil {
		return fmt.Errorf("endpoint %.80q: %w", e.Name, err)
	}
	return nil
}

// KeepExisting is for an entry that could not be read: what is known under its name stays, also where the list is a snapshot.
func (c *Catalog) KeepExisting(name string) {
	if slot, known := c.entries.find(name); known && c.update.open {
		c.see(slot)
	}
}

func (c *Catalog) put(e agent.Endpoint) error {
	slot, known := c.entries.find(e.Name)
	if known && e.Status != agent.Deleted {
		c.see(slot) // also where its new state is refused: then it stays as it was
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
		e = c.complete(slot, e)
	}
	if err := c.checkSize(e); err != nil {
		return err
	}
	if !known {
		return c.add(e)
	}
	return c.replace(slot, e)
}

// complete fills in what an entry that drains may lack.
func (c *Catalog) complete(slot slot, e agent.Endpoint) agent.Endpoint {
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
		return fmt.Errorf("there are %d endpoints already, as many as are kept", c.limits.Entries)
	}
	slot, err := c.entries.add(e)
	if err != nil {
		return err
	}
	c.see(slot)
	c.record(slot)
	return nil
}

func (c *Catalog) replace(slot slot, e agent.Endpoint) error {
	before := c.entries.endpoint(slot)
	if before == e {
		return nil
	}
	if before.Group != e.Group { // a scope with only the former destination must see it leave
		c.record(slot)
	}
	if err := c.entries.replace(slot, e); err != nil {
		return err
	}
	c.record(slot)
	return nil
}

func (c *Catalog) delete(slot slot) {
	c.record(slot)
	c.entries.delete(slot)
}

// record notes in the log that an entry changes. The first list changes nothing: nobody had another.
func (c *Catalog) record(slot slot) {
	if c.index >= 0 {
		record := c.entries.at(slot)
		c.log.add(change{name: record.name(), group: record.group})
	}
}

func (c *Catalog) see(slot slot) {
	if c.update.snapshot {
		c.update.seen.set(slot)
	}
}

// Commit ends a list that was begun: what a snapshot has not named is gone, and the list has its index.
func (c *Catalog) Commit() (ChangedDestinations, error) {
	if !c.update.open {
		return ChangedDestinations{}, errors.New("no list is being taken over")
	}
	if c.update.snapshot {
		c.deleteUnseen()
	}
	index := c.update.index
	c.update = update{}
	if c.index < 0 || index < c.index {
		c.highest = max(c.highest, c.index)
		c.index = index
		c.log.restart(index)
		return ChangedDestinations{All: true}, nil
	}
	if index == c.index { // changes without a new index wait for one: who has this index could not be sent them
		return ChangedDestinations{}, nil
	}
	c.index = index
	return c.log.commit(index), nil
}

func (c *Catalog) deleteUnseen() {
	for slot := range c.entries.slots() {
		if c.entries.at(slot).used() && !c.update.seen.has(slot) {
			c.delete(slot)
		}
	}
}

// Apply takes over a list at once. The entries that were refused are the second result; the first error is about the list as a whole.
func (c *Catalog) Apply(list *agent.List) (touched ChangedDestinations, refused []error, err error) {
	if err := c.Begin(list.Index, list.Snapshot); err != nil {
		return ChangedDestinations{}, nil, err
	}
	for _, e := range list.Endpoints {
		if err := c.Put(e); err != nil {
			refused = append(refused, err)
		}
	}
	touched, err = c.Commit()
	return touched, refused, err
}

// Restore gives an empty catalog the index of a list that was saved; its entries follow with Put, and Commit ends it.
func (c *Catalog) Restore(index, highest int64) error {
	if c.index >= 0 || c.Len() > 0 {
		return errors.New("only an empty catalog is restored")
	}
	c.highest = highest
	return c.Begin(index, true)
}
