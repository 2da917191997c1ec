package operator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"net/mail"
	"net/netip"
	"slices"
	"strings"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Pool holds the endpoints that operators configure for one destination, in addition to those from other sources. A pool
// without a destination is a destination of its own that only routes lead to.
type Pool struct {
	Name        string         `json:"name"`
	Destination *int           `json:"destination,omitempty"`
	Discovered  bool           `json:"discovered,omitempty"` // all endpoints come from discovery
	Sender      string         `json:"sender,omitempty"`     // of the envelope, for endpoints that accept mail
	Recipient   string         `json:"recipient,omitempty"`  // of the envelope, for endpoints that accept mail
	Endpoints   []PoolEndpoint `json:"endpoints,omitempty"`  // sorted by name; their order has no effect
}

// HasMail reports whether an endpoint of any pool accepts mail.
func (c *Config) HasMail() bool {
	return slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.HasMail() })
}

// HasMail reports whether an endpoint of the pool accepts mail.
func (p *Pool) HasMail() bool {
	return slices.ContainsFunc(p.Endpoints, func(e PoolEndpoint) bool { return e.Protocol != "" && e.Protocol != "http" })
}

// Protocols are the protocols by which endpoints can be called.
var Protocols = []string{"http", engine.SMTP, engine.LMTP}

// checkMail checks the sender and the recipient of the envelope.
func (p *Pool) checkMail(add func(key, what, remedy string)) {
	for _, a := range []struct{ key, text string }{{"sender", p.Sender}, {"recipient", p.Recipient}} {
		key := "pool." + p.Name + "." + a.key
		switch parsed, err := mail.ParseAddress(a.text); {
		case a.text == "" && p.HasMail():
			add(key, fmt.Sprintf("the pool %q has endpoints that take mail, and no %s", p.Name, a.key), fmt.Sprintf(`write %s = "petitions@example.org"`, a.key))
		case a.text != "" && !p.HasMail():
			add(key, fmt.Sprintf("the pool %q has a %s, and no endpoint that takes mail", p.Name, a.key), `write protocol = "smtp" or "lmtp" in its endpoints, or remove it`)
		case a.text != "" && (err != nil || parsed.Address != a.text || strings.ContainsFunc(a.text, func(r rune) bool { return r <= ' ' || r > '~' || r == '<' || r == '>' || r == '"' }) || len(a.text) > 254):
			add(key, fmt.Sprintf("%.80q is not a mail address", a.text), "write a plain one of ASCII letters, such as petitions@example.org")
		}
	}
}

// DestinationNumber returns the pool's destination or, if it has none, a negative number that is derived from its name. No client
// can name such a number, and it is the same after each restart, since the journal stores it. Check rejects two pools whose names
// result in the same number.
func (p *Pool) DestinationNumber() int {
	if p.Destination != nil {
		return *p.Destination
	}
	h := fnv.New32a()
	h.Write([]byte(p.Name))
	return -1 - int(h.Sum32()>>1)
}

// describe names the pool's destination or, if it has none, the pool.
func (p *Pool) describe() string {
	if p.Destination != nil {
		return fmt.Sprintf("destination %d", *p.Destination)
	}
	return fmt.Sprintf("pool %q", p.Name)
}

// describeDestination describes a destination, by the name of its pool if its number is derived from one. A nil Config knows no
// pools.
func (c *Config) describeDestination(number int) string {
	if c != nil && number < 0 {
		for i := range c.Pools {
			if p := &c.Pools[i]; p.DestinationNumber() == number {
				return p.describe()
			}
		}
	}
	return fmt.Sprintf("destination %d", number)
}

// PoolEndpoint is an endpoint of a pool. Its name is the same in all sources.
type PoolEndpoint struct {
	Name     string `json:"name"`
	Address  string `json:"address"` // an IP address and a port; host names are not resolved
	Zone     string `json:"zone,omitempty"`
	Backup   bool   `json:"backup,omitempty"`   // used only while the other endpoints of the destination fail or are absent
	Drain    bool   `json:"drain,omitempty"`    // finishes its calls and gets no new ones
	Protocol string `json:"protocol,omitempty"` // http (also if empty), smtp or lmtp
	Weight   int    `json:"weight,omitempty"`   // its share of the calls relative to the other endpoints of the pool; 0 means 1
}

const (
	maxEndpoints = 100_000 // in all pools
	maxNameLen   = 255     // bytes
	maxWeight    = 1000
)

func (c *Config) checkPools(add func(key, what, remedy string)) {
	pools, dests, names := map[string]bool{}, map[int]string{}, map[string]string{}
	total := 0
	for i := range c.Pools {
		p := &c.Pools[i]
		key := "pool." + p.Name
		if pools[p.Name] {
			add(key, fmt.Sprintf("there are two pools %q", p.Name), "give each a name of its own")
		}
		pools[p.Name] = true
		switch other, twice := dests[p.DestinationNumber()]; {
		case twice && p.Destination != nil:
			add(key+".destination", fmt.Sprintf("destination %d has the pool %q too", *p.Destination, other),
				fmt.Sprintf("put all its endpoints into one (the other: %s)", cmp.Or(c.Positions["pool."+other], other)))
		case twice && other != p.Name:
			add(key, fmt.Sprintf("the pools %q and %q can't be told apart in the journal: both names result in the same destination number", other, p.Name), "give one of them another name")
		}
		dests[p.DestinationNumber()] = p.Name
		if p.Destination != nil && *p.Destination < 0 {
			add(key+".destination", fmt.Sprintf("there is no destination %d", *p.Destination), "set 0 or more")
		}
		switch {
		case p.Discovered && p.Destination == nil:
			add(key, fmt.Sprintf("the pool %q takes its endpoints from discovery and has no destination", p.Name), "write destination = 7 for the group that discovery lists")
		case p.Discovered && len(p.Endpoints) > 0:
			add(key, fmt.Sprintf("the pool %q takes its endpoints from discovery and has endpoints of its own", p.Name), `remove source = "discovery": the endpoints of a pool and those of discovery are merged`)
		case !p.Discovered && len(p.Endpoints) == 0:
			add(key, fmt.Sprintf("the pool %q has no endpoint", p.Name), `write endpoint "NAME" { address = "10.0.0.7:8080" }, or remove the pool`)
		}
		p.checkMail(add)
		addresses, primary := map[string]string{}, false
		for _, e := range p.Endpoints {
			at := key + "." + e.Name
			total++
			primary = primary || !e.Backup
			if e.Name == "" || len(e.Name) > maxNameLen {
				add(at, fmt.Sprintf("%.40q is not a valid name of an endpoint", e.Name), fmt.Sprintf("choose one of 1 to %d bytes", maxNameLen))
			}
			if other, twice := names[e.Name]; twice {
				add(at, fmt.Sprintf("there are two endpoints %q", e.Name), fmt.Sprintf("give each a name of its own: an endpoint is identified by it (the other: %s)", cmp.Or(c.Positions[other], other)))
			}
			names[e.Name] = at
			if e.Protocol != "" && !slices.Contains(Protocols, e.Protocol) {
				add(at+".protocol", fmt.Sprintf("there is no protocol %q", e.Protocol), SuggestName(e.Protocol, Protocols))
			}
			if e.Weight < 0 || e.Weight > maxWeight {
				add(at+".weight", fmt.Sprintf("weight is %d", e.Weight), fmt.Sprintf("set from 1 to %d", maxWeight))
			}
			a, err := netip.ParseAddrPort(e.Address)
			if err != nil || a.Port() == 0 {
				add(at+".address", fmt.Sprintf("%.80q is not an address", e.Address), `write an IP address and a port, such as "10.0.0.7:8080" or "[fd00::7]:8080": no name is looked up`)
			}
			if other, twice := addresses[a.String()]; twice && err == nil {
				add(at+".address", fmt.Sprintf("%s is %q already", e.Address, other), "remove one of them: each would get calls as a separate endpoint")
			}
			addresses[a.String()] = e.Name
		}
		if len(p.Endpoints) > 0 && !primary {
			add(key, fmt.Sprintf("the pool %q has backups only", p.Name), "remove backup = true from one of them: a backup is used only in place of others")
		}
	}
	if total > maxEndpoints {
		add("pool."+c.Pools[len(c.Pools)-1].Name, fmt.Sprintf("the pools have %d endpoints", total), fmt.Sprintf("set %d at most", maxEndpoints))
	}
}

// Endpoints returns the endpoints of all pools as the snapshot of one source.
func (c *Config) Endpoints() engine.List {
	l := engine.List{Scope: decide.Snapshot}
	for _, p := range c.Pools {
		for _, e := range p.Endpoints {
			state := decide.Active
			if e.Drain {
				state = decide.Draining
			}
			address := e.Address
			if e.Protocol != "" && e.Protocol != "http" {
				address = engine.MailAddress{LMTP: e.Protocol == engine.LMTP, HostPort: address, From: p.Sender, To: p.Recipient}.String()
			}
			l.Endpoints = append(l.Endpoints, engine.Endpoint{Address: address, AddressPinned: true,
				Target: decide.Target{ID: e.Name, Destination: p.DestinationNumber(), Zone: e.Zone, State: state, Backup: e.Backup, Share: float64(e.Weight)}})
		}
	}
	return l
}

// describe returns a one-line description of the endpoint; Diff compares these.
func (e PoolEndpoint) describe(p *Pool) string {
	parts := []string{e.Address + " for " + strings.TrimPrefix(p.describe(), "destination ")}
	if e.Protocol != "" && e.Protocol != "http" {
		parts = append(parts, fmt.Sprintf("by %s from %s to %s", e.Protocol, p.Sender, p.Recipient))
	}
	if e.Zone != "" {
		parts = append(parts, "in zone "+e.Zone)
	}
	if e.Backup {
		parts = append(parts, "as a backup")
	}
	if e.Weight > 1 {
		parts = append(parts, fmt.Sprint("of weight ", e.Weight))
	}
	if e.Drain {
		parts = append(parts, "draining")
	}
	return strings.Join(parts, " ")
}

// diffPools compares endpoints by their names; which pool contains them has no effect.
func diffPools(old, new *Config) (list []Change) {
	type described struct{ shown, at string }
	byName := func(c *Config) map[string]described {
		m := map[string]described{}
		for i := range c.Pools {
			p := &c.Pools[i]
			for _, e := range p.Endpoints {
				m[e.Name] = described{e.describe(p), c.Positions["pool."+p.Name+"."+e.Name]}
			}
		}
		return m
	}
	before, after := byName(old), byName(new)
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a, b := before[name], after[name]
		if a.shown != b.shown {
			list = append(list, Change{"endpoint " + name, "address and state", cmp.Or(a.shown, "not in this file"), cmp.Or(b.shown, "not in this file"), a.at, b.at})
		}
	}
	return list
}

// explainPool lists the endpoints that operators have configured for a destination.
func (c *Config) explainPool(dest int) (list []Change) {
	for i := range c.Pools {
		p := &c.Pools[i]
		if p.DestinationNumber() != dest {
			continue
		}
		for _, e := range p.Endpoints {
			list = append(list, Change{Scope: p.describe(), Key: "endpoint " + e.Name, New: e.describe(p), NewPosition: c.Positions["pool."+p.Name+"."+e.Name]})
		}
	}
	return list
}
