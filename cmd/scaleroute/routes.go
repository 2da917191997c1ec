package main

import (
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
	"scaleroute/internal/plugin/runner"
	"scaleroute/internal/route"
)

// router applies the operators' routes to messages before the plug-ins see them.
type router struct {
	settings *settings
	next     runner.Acceptor
}

func (r router) Accept(m *message.Message) engine.Answer {
	routes := r.settings.routes.Load()
	if routes.Empty() {
		return r.next.Accept(m)
	}
	found := routes.Find(&route.Message{Front: frontName(m), Class: m.Class, Destination: m.Destination, Field: m.Field})
	switch {
	case found == nil && routes.RejectsUnrouted():
		return engine.Answer{Kind: engine.Rejected, Reason: "no route"}
	case found == nil:
		return r.next.Accept(m)
	}
	routed := *m // a copy, since the client's goroutine still uses m
	routed.Extras = &message.Extras{Route: found.Name, Requested: m.Destination}
	routed.Destination = found.Destination
	return r.next.Accept(&routed)
}

// frontName returns the name of the front that a message came by, as routes match it. The journal has no name for RESP2.
func frontName(m *message.Message) string {
	if m.Origin == "" {
		return "resp2"
	}
	return m.Origin
}
