package main

import (
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// maxIdleMailConns is the limit of idle connections to mail servers, for which descriptors are reserved.
const maxIdleMailConns = 32

// backByScheme calls each endpoint through the back for its address: mail or HTTP.
type backByScheme struct{ http, mail engine.Back }

func (b backByScheme) UpdateEndpoints(l engine.List) {
	b.mail.UpdateEndpoints(l)
	web := engine.List{Scope: l.Scope}
	for _, e := range l.Endpoints {
		if engine.IsMail(e.Address) { // the endpoint may have had an HTTP address before
			e.State = decide.Gone
		}
		if e.State != decide.Gone || l.Scope == decide.Delta {
			web.Endpoints = append(web.Endpoints, e)
		}
	}
	b.http.UpdateEndpoints(web)
}

func (b backByScheme) Endpoint(name string) engine.Caller {
	if c := b.mail.Endpoint(name); c != nil {
		return c
	}
	return b.http.Endpoint(name)
}
