package main

import "scaleroute/internal/engine"

// maxIdleMailConns is the limit of idle connections to mail servers, for which descriptors are reserved.
const maxIdleMailConns = 32

// backByScheme calls each endpoint through the back for its address: mail or HTTP. Each back ignores the other's endpoints.
type backByScheme struct{ http, mail engine.Back }

func (b backByScheme) UpdateEndpoints(l engine.List) {
	b.mail.UpdateEndpoints(l)
	b.http.UpdateEndpoints(l)
}

func (b backByScheme) Endpoint(name string) engine.Caller {
	if c := b.mail.Endpoint(name); c != nil {
		return c
	}
	return b.http.Endpoint(name)
}
