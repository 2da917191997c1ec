package main

import (
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
	"scaleroute/internal/plugin/runner"
	"scaleroute/internal/route"
)

// router leads messages to where the operators' routes say, before plug-ins are asked.
type router struct {
	set  *settings
	next runner.Taker
}

func (r router) Accept(m *message.Message) engine.Answer {
	routes := r.set.routes.Load()
	if routes.Empty() {
		return r.next.Accept(m)
	}
	way := routes.Find(&route.Message{Front: front(m), Class: m.Class, Destination: m.Destination, Field: m.Field})
	switch {
	case way == nil && routes.Rejects():
		return engine.Answer{Kind: engine.Rejected, Reason: "no route"}
	case way == nil:
		return r.next.Accept(m)
	}
	led := *m // the client's goroutine holds the other
	led.Extras = &message.Extras{Route: way.Name, Requested: m.Destination}
	led.Destination = way.To
	return r.next.Accept(&led)
}

// front is the name of the one that a message came by, for routes: that of RESP2 stands in no journal.
func front(m *message.Message) string {
	if m.Origin == "" {
		return "resp2"
	}
	return m.Origin
}
