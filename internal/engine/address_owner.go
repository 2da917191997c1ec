package engine

import (
	"log/slog"
	"slices"

	"scaleroute/internal/decide"
)

// addressOwners decides which endpoint an address belongs to while several are listed at it. Discovery may report a new process at an address before it
// reports the end of the one that was there. The process that started last has the address; the others drain until they move, or until they are alone
// there again. Where no start is known the list is believed: several endpoints share the address.
type addressOwners struct {
	byName    map[string]*listedEndpoint
	byAddress map[string]*listedEndpoint // the first at each address; the others follow by sibling
}

// listedEndpoint is an endpoint as it was listed.
type listedEndpoint struct {
	Endpoint
	isDisplaced bool // another endpoint has its address
	sibling     *listedEndpoint
}

func (o *addressOwners) init() {
	o.byName, o.byAddress = map[string]*listedEndpoint{}, map[string]*listedEndpoint{}
}

// resolve returns a list in which the displaced endpoints drain. A delta also gets the endpoints that it displaces, or that have their address again.
func (o *addressOwners) resolve(l List) List {
	if l.Scope == decide.Unavailable {
		return l
	}
	if l.Scope != decide.Delta {
		o.init()
	}
	named := make(map[string]int, len(l.Endpoints)) // position in the list
	touched := make(map[string]struct{}, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		named[e.ID] = i
		o.remove(e.ID, touched)
		if e.State != decide.Gone && e.Address != "" {
			o.add(*e)
			touched[e.Address] = struct{}{}
		}
	}
	resolved := l.Endpoints
	isCopy := false
	for address := range touched {
		for e, start := o.byAddress[address], o.latestStart(address); e != nil; e = e.sibling {
			wasDisplaced := e.isDisplaced
			e.isDisplaced = !e.AddressPinned && e.StartedMS < start
			i, isNamed := named[e.ID]
			if e.isDisplaced == wasDisplaced && (!isNamed || !e.isDisplaced) {
				continue
			}
			if !isCopy { // the caller keeps its list
				resolved, isCopy = slices.Clone(resolved), true
			}
			if !isNamed {
				resolved = append(resolved, e.Endpoint)
				i = len(resolved) - 1
			}
			if e.isDisplaced {
				resolved[i].State = max(resolved[i].State, decide.Draining)
			}
			if e.isDisplaced != wasDisplaced {
				slog.Info("endpoint's address belongs to another one that started later", "target", e.ID, "destination", e.Destination, "address", e.Address, "since_ms", e.StartedMS, "later_ms", start, "drains", e.isDisplaced)
			}
		}
	}
	l.Endpoints = resolved
	return l
}

// latestStart returns the latest start among the endpoints at an address.
func (o *addressOwners) latestStart(address string) (start int64) {
	for e := o.byAddress[address]; e != nil; e = e.sibling {
		if !e.AddressPinned {
			start = max(start, e.StartedMS)
		}
	}
	return start
}

func (o *addressOwners) add(e Endpoint) {
	listed := &listedEndpoint{Endpoint: e, sibling: o.byAddress[e.Address]}
	o.byName[e.ID], o.byAddress[e.Address] = listed, listed
}

// remove removes an endpoint if it is listed, and adds its address to touched.
func (o *addressOwners) remove(name string, touched map[string]struct{}) {
	e := o.byName[name]
	if e == nil {
		return
	}
	delete(o.byName, name)
	touched[e.Address] = struct{}{}
	first := o.byAddress[e.Address]
	if first != e {
		for first.sibling != e {
			first = first.sibling
		}
		first.sibling = e.sibling
		return
	}
	if e.sibling != nil {
		o.byAddress[e.Address] = e.sibling
		return
	}
	delete(o.byAddress, e.Address)
}
