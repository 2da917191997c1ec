package membership

import (
	"testing"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// TestForgetSource: after Forget, a source counts as if it had never named the endpoints: an endpoint that another source names continues to serve, and an endpoint that
// the source names again serves.
func TestForgetSource(t *testing.T) {
	named := func(names ...string) engine.List {
		l := engine.List{Scope: decide.Delta}
		for _, n := range names {
			l.Endpoints = append(l.Endpoints, engine.Endpoint{Target: decide.Target{ID: n, Destination: 7}})
		}
		return l
	}
	var s Set
	s.Update(File, named("both"))
	s.Update(Agent, named("both", "own", "drains"))
	drains := named("drains")
	drains.Endpoints[0].State = decide.Draining
	s.Update(Agent, drains)
	l := s.Forget(Agent, []string{"both", "own", "drains", "never"})
	if len(l.Endpoints) != 2 || l.Scope != decide.Delta || l.Endpoints[0].State != decide.Gone || l.Endpoints[1].State != decide.Gone {
		t.Fatalf("%+v", l)
	}
	if e := s.merged["both"]; e.State != decide.Active || len(s.merged) != 1 {
		t.Fatalf("%+v", s.merged)
	}
	if l := s.Update(Agent, named("own")); len(l.Endpoints) != 1 || l.Endpoints[0].State != decide.Active {
		t.Fatalf("named again: %+v", l)
	}
}
