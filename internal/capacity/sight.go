package capacity

import (
	"fmt"
	"math"
)

// idleConnectionSeconds is for how long a forwarder keeps a connection that nobody uses, as the platform's settings have it in tests.
const idleConnectionSeconds = 15

// sight is what one of each sees, by the plan alone: nothing here was measured.
func sight(m *Model) string {
	p := m.Plan
	perDestination := p.EventsPerSecond / p.Destinations
	perOwner := perDestination / p.Ownership.Replicas
	served, _ := p.Size(ServedForwarders)
	changes, _ := p.Size(ChangesPerSecond)
	restarts, _ := p.Size(RestartsPerSecond)
	t := newTable("who", "what", "by the plan alone")
	t.add("forwarder", "events a second", significant(p.EventsPerForwarder()))
	t.add("forwarder", "comes by one destination once in, if all forwarders call all", duration(p.Destinations/p.EventsPerForwarder()))
	t.add("forwarder", "destinations that it owns", count(p.PartDestinations()))
	t.add("forwarder", "comes by one that it owns once in, if owners alone call (stage 2)", duration(1/perOwner))
	t.add("target", "calls a second, of one destination", significant(perDestination))
	t.add("target", fmt.Sprintf("of its calls come over a connection that is open, kept for %d s: if all forwarders call all", idleConnectionSeconds), percent(reused(perDestination/p.Forwarders)))
	t.add("target", "the same, if owners alone call (stage 2)", percent(reused(perOwner)))
	t.add("target", "of all calls, those to destinations that are down", fmt.Sprintf("%s a second to %s", count(p.EventsPerSecond*p.DestinationsDownPercent/100), count(p.Destinations*p.DestinationsDownPercent/100)))
	t.add("control server", fmt.Sprintf("forwarders that it serves, with %s alive", count(p.Allowed.ControlServersAlive)), count(served))
	t.add("control server", "changes of the list, one in", duration(1/changes))
	t.add("control server", "forwarders that start again, one in", duration(1/restarts))
	return t.String()
}

// reused is the share of calls, at so many a second, that come before the connection of the one before has been idle for too long: they come at random.
func reused(perSecond float64) float64 { return -math.Expm1(-perSecond * idleConnectionSeconds) }
