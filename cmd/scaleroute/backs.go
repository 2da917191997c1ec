package main

import (
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// mailIdle is how many idle connections to mail servers there may be, for which descriptors are kept.
const mailIdle = 32

// backs has each endpoint called by the back for its address.
type backs struct{ http, mail engine.Back }

func (b backs) UpdateEndpoints(l engine.List) {
	b.mail.UpdateEndpoints(l)
	web := engine.List{Scope: l.Scope}
	for _, e := range l.Endpoints {
		if engine.IsMail(e.Address) { // it may have been the other's
			e.State = decide.Gone
		}
		if e.State != decide.Gone || l.Scope == decide.Delta {
			web.Endpoints = append(web.Endpoints, e)
		}
	}
	b.http.UpdateEndpoints(web)
}

func (b backs) Endpoint(name string) engine.Caller {
	if c := b.mail.Endpoint(name); c != nil {
		return c
	}
	return b.http.Endpoint(name)
}
