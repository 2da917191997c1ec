package registry

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// maxLoggedChanges bounds the log lines of one list.
const maxLoggedChanges = 16

// Endpoint is what a back keeps for an incarnation.
type Endpoint interface {
	comparable
	// Listing returns the incarnation.
	Listing() *Incarnation
	// Release closes idle connections, and those that become idle later. It is called once the incarnation is withdrawn.
	Release()
}

// Registry holds the current incarnation of each listed endpoint. One goroutine applies lists; the other methods may be called from any goroutine.
type Registry[E Endpoint] struct {
	handles func(address string) bool // whether this back calls endpoints with such an address
	open    func(*Incarnation) (E, error)

	mu     sync.RWMutex
	byName map[string]E
}

// New returns an empty Registry for the endpoints whose address handles accepts. open creates what the back keeps for an incarnation.
func New[E Endpoint](handles func(address string) bool, open func(*Incarnation) (E, error)) *Registry[E] {
	return &Registry[E]{handles: handles, open: open, byName: map[string]E{}}
}

// Named returns the current incarnation of an endpoint.
func (r *Registry[E]) Named(name string) (e E, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok = r.byName[name]
	return e, ok
}

// Identified returns the current incarnation of an endpoint if it has exactly this identity.
func (r *Registry[E]) Identified(identity engine.EndpointIdentity) (e E, ok bool) {
	e, ok = r.Named(identity.Name)
	if ok && e.Listing().EndpointIdentity != identity {
		var none E
		return none, false
	}
	return e, ok
}

// Len returns the number of listed endpoints.
func (r *Registry[E]) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.byName)
}

// Update applies an endpoint snapshot or delta.
func (r *Registry[E]) Update(l engine.List) {
	complete := l.Scope == decide.Snapshot || l.Scope == decide.LastKnown
	log := &changeLog{}
	listed := map[string]bool{}
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		if complete {
			listed[e.ID] = true
		}
		r.apply(e, log)
	}
	if complete {
		for _, name := range r.missingFrom(listed) {
			r.withdraw(name, "missing from the list", log)
		}
	}
	log.finish()
}

// missingFrom returns the names of the endpoints that a snapshot does not list.
func (r *Registry[E]) missingFrom(listed map[string]bool) (names []string) {
	for name := range r.byName {
		if !listed[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// apply applies one entry of a list.
func (r *Registry[E]) apply(e *engine.Endpoint, log *changeLog) {
	current, isListed := r.Named(e.ID)
	switch {
	case e.State == decide.Gone:
		r.withdraw(e.ID, "gone", log)
		return
	case isListed && e.State != decide.Active && e.Address == "": // the entry of a draining endpoint may lack everything but its name
		current.Listing().applyState(e.State, log)
		return
	case !r.handles(e.Address):
		r.withdraw(e.ID, "not an address of this back", log)
		return
	}
	if isListed {
		if change := current.Listing().changeTo(e); change != "" {
			r.withdraw(e.ID, change, log)
			isListed = false
		}
	}
	if !isListed {
		added, err := r.open(NewIncarnation(e.Identity()))
		if err != nil { // addresses in the configuration are validated, so this one comes from faulty discovery
			slog.Error("an endpoint can't be called: correct its entry in the endpoint list", "target", e.ID, "address", e.Address, "err", err)
			return
		}
		r.mu.Lock()
		r.byName[e.ID] = added
		r.mu.Unlock()
		current = added
	}
	current.Listing().applyState(e.State, log)
}

// applyState applies the listed state of an endpoint that is not gone.
func (i *Incarnation) applyState(state decide.TargetState, log *changeLog) {
	if state != decide.Active {
		if i.setRefusal(Draining) {
			log.add(i, "draining", "listed so, or its address is another one's")
		}
		return
	}
	if i.setRefusal(NotRefused) {
		log.add(i, "serving again", "listed so")
	}
}

// changeTo returns what makes an entry of a list another incarnation of the endpoint, or "". An entry whose start is unknown or older says
// nothing of a restart.
func (i *Incarnation) changeTo(e *engine.Endpoint) string {
	switch {
	case i.Address != e.Address:
		return fmt.Sprintf("moved to %s", e.Address)
	case i.Destination != e.Destination:
		return fmt.Sprintf("listed for destination %d", e.Destination)
	case e.StartedMS > i.StartedMS:
		return "restarted"
	}
	return ""
}

// withdraw removes an endpoint if it is listed. Calls in flight to it continue.
func (r *Registry[E]) withdraw(name, reason string, log *changeLog) {
	e, ok := r.Named(name)
	if !ok {
		return
	}
	r.mu.Lock()
	delete(r.byName, name)
	r.mu.Unlock()
	e.Listing().Withdraw()
	e.Release()
	log.add(e.Listing(), "withdrawn", reason)
}

// changeLog logs the endpoints that one list withdraws, has drain or has serve again.
type changeLog struct{ count int }

func (l *changeLog) add(i *Incarnation, change, reason string) {
	if l.count++; l.count <= maxLoggedChanges {
		slog.Info("endpoint "+change, "target", i.Name, "destination", i.Destination, "address", i.hostPort(), "since_ms", i.StartedMS, "why", reason)
	}
}

func (l *changeLog) finish() {
	if more := l.count - maxLoggedChanges; more > 0 {
		slog.Info("more endpoints changed by the same list", "count", more)
	}
}
