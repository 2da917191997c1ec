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

// Pool is the endpoints of one destination that operators know, beside those that other sources tell of; or, without a
// destination, a place of its own where only routes lead.
type Pool struct {
	Name        string         `json:"name"`
	Destination *int           `json:"destination,omitempty"`
	Discovered  bool           `json:"discovered,omitempty"` // discovery alone tells of the endpoints
	Sender      string         `json:"sender,omitempty"`     // of the envelope, where endpoints take mail
	Recipient   string         `json:"recipient,omitempty"`  // the same
	Endpoints   []PoolEndpoint `json:"endpoints,omitempty"`  // by name: their order means nothing
}

// HasMail tells whether an endpoint takes mail.
func (c *Config) HasMail() bool {
	return slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.HasMail() })
}

// HasMail tells whether an endpoint of the pool takes mail.
func (p *Pool) HasMail() bool {
	return slices.ContainsFunc(p.Endpoints, func(e PoolEndpoint) bool { return e.Protocol != "" && e.Protocol != "http" })
}

// Protocols by which endpoints are called.
var Protocols = []string{"http", engine.SMTP, engine.LMTP}

// checkMail checks the addresses of an envelope.
func (p *Pool) checkMail(add func(key, what, remedy string)) {
	for _, a := range []struct{ key, text string }{{"sender", p.Sender}, {"recipient", p.Recipient}} {
		key := "pool." + p.Name + "." + a.key
		switch parsed, err := mail.ParseAddress(a.text); {
		case a.text == "" && p.HasMail():
			add(key, fmt.Sprintf("the pool %q has endpoints that take mail, and no %s", p.Name, a.key), fmt.Sprintf(`write %s = "petitions@example.org"`, a.key))
		case a.text != "" && !p.HasMail():
			add(key, fmt.Sprintf("the pool %q has a %s, and no endpoint that takes mail", p.Name, a.key), `write protocol = "smtp" or "lmtp" in its endpoints, or take it out`)
		case a.text != "" && (err != nil || parsed.Address != a.text || strings.ContainsFunc(a.text, func(r rune) bool { return r <= ' ' || r > '~' || r == '<' || r == '>' || r == '"' }) || len(a.text) > 254):
			add(key, fmt.Sprintf("%.80q is no mail address", a.text), "write a plain one of ASCII letters, such as petitions@example.org")
		}
	}
}

// DestinationNumber is the destination that a pool is: its own, or one worked out from its name, which no client can name and which is the same after
// each restart, as the journal has it. Two names of one number are refused.
func (p *Pool) DestinationNumber() int {
	if p.Destination != nil {
		return *p.Destination
	}
	h := fnv.New32a()
	h.Write([]byte(p.Name))
	return -1 - int(h.Sum32()>>1)
}

// show is a pool in words.
func (p *Pool) show() string {
	if p.Destination != nil {
		return fmt.Sprintf("destination %d", *p.Destination)
	}
	return fmt.Sprintf("pool %q", p.Name)
}

// goal is a destination's number in words; the pools of nil are not known.
func (c *Config) goal(number int) string {
	if c != nil && number < 0 {
		for i := range c.Pools {
			if p := &c.Pools[i]; p.DestinationNumber() == number {
				return p.show()
			}
		}
	}
	return fmt.Sprintf("destination %d", number)
}

// PoolEndpoint is one of them. Its name is the same in all sources.
type PoolEndpoint struct {
	Name     string `json:"name"`
	Address  string `json:"address"` // an IP address and a port: no name is looked up
	Zone     string `json:"zone,omitempty"`
	Backup   bool   `json:"backup,omitempty"`   // only while the others of the destination fail or are away
	Drain    bool   `json:"drain,omitempty"`    // finishes what it has, and gets nothing new
	Protocol string `json:"protocol,omitempty"` // http (empty is the same), smtp or lmtp
	Weight   int    `json:"weight,omitempty"`   // its part of the calls, against the others of the pool; 0 is 1
}

const (
	mostEndpoints = 100_000 // of all pools
	mostName      = 255     // bytes
	mostWeight    = 1000
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
			add(key, fmt.Sprintf("the pools %q and %q can't be told apart in the journal: their names come to one number", other, p.Name), "give one of them another name")
		}
		dests[p.DestinationNumber()] = p.Name
		if p.Destination != nil && *p.Destination < 0 {
			add(key+".destination", fmt.Sprintf("there is no destination %d", *p.Destination), "set 0 or more")
		}
		switch {
		case p.Discovered && p.Destination == nil:
			add(key, fmt.Sprintf("the pool %q is discovery's, and of no destination", p.Name), "write destination = 7 for the group that discovery lists")
		case p.Discovered && len(p.Endpoints) > 0:
			add(key, fmt.Sprintf("the pool %q is discovery's, and has endpoints of its own", p.Name), `take source = "discovery" out: endpoints and those of discovery are put together`)
		case !p.Discovered && len(p.Endpoints) == 0:
			add(key, fmt.Sprintf("the pool %q has no endpoint", p.Name), `write endpoint "NAME" { address = "10.0.0.7:8080" }, or take the pool out`)
		}
		p.checkMail(add)
		addresses, primary := map[string]string{}, false
		for _, e := range p.Endpoints {
			at := key + "." + e.Name
			total++
			primary = primary || !e.Backup
			if e.Name == "" || len(e.Name) > mostName {
				add(at, fmt.Sprintf("%.40q is no name of an endpoint", e.Name), fmt.Sprintf("give it one of %d bytes at most", mostName))
			}
			if other, twice := names[e.Name]; twice {
				add(at, fmt.Sprintf("there are two endpoints %q", e.Name), fmt.Sprintf("give each a name of its own: an endpoint is known by it (the other: %s)", cmp.Or(c.Positions[other], other)))
			}
			names[e.Name] = at
			if e.Protocol != "" && !slices.Contains(Protocols, e.Protocol) {
				add(at+".protocol", fmt.Sprintf("there is no protocol %q", e.Protocol), SuggestName(e.Protocol, Protocols))
			}
			if e.Weight < 0 || e.Weight > mostWeight {
				add(at+".weight", fmt.Sprintf("weight is %d", e.Weight), fmt.Sprintf("set from 1 to %d", mostWeight))
			}
			a, err := netip.ParseAddrPort(e.Address)
			if err != nil || a.Port() == 0 {
				add(at+".address", fmt.Sprintf("%.80q is no address", e.Address), `write an IP address and a port, such as "10.0.0.7:8080" or "[fd00::7]:8080": no name is looked up`)
			}
			if other, twice := addresses[a.String()]; twice && err == nil {
				add(at+".address", fmt.Sprintf("%s is %q already", e.Address, other), "take one of the two out: both would get calls as if they were two")
			}
			addresses[a.String()] = e.Name
		}
		if len(p.Endpoints) > 0 && !primary {
			add(key, fmt.Sprintf("the pool %q has backups only", p.Name), "take backup = true from one of them: a backup stands in for others")
		}
	}
	if total > mostEndpoints {
		add("pool."+c.Pools[len(c.Pools)-1].Name, fmt.Sprintf("the pools have %d endpoints", total), fmt.Sprintf("set %d at most", mostEndpoints))
	}
}

// Endpoints is what all pools tell, as a source of endpoints.
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
			l.Endpoints = append(l.Endpoints, engine.Endpoint{Address: address,
				Target: decide.Target{ID: e.Name, Destination: p.DestinationNumber(), Zone: e.Zone, State: state, Backup: e.Backup, Share: float64(e.Weight)}})
		}
	}
	return l
}

// show is an endpoint in one text.
func (e PoolEndpoint) show(p *Pool) string {
	words := []string{e.Address + " for " + strings.TrimPrefix(p.show(), "destination ")}
	if e.Protocol != "" && e.Protocol != "http" {
		words = append(words, fmt.Sprintf("by %s from %s to %s", e.Protocol, p.Sender, p.Recipient))
	}
	if e.Zone != "" {
		words = append(words, "in zone "+e.Zone)
	}
	if e.Backup {
		words = append(words, "as a backup")
	}
	if e.Weight > 1 {
		words = append(words, fmt.Sprint("of weight ", e.Weight))
	}
	if e.Drain {
		words = append(words, "draining")
	}
	return strings.Join(words, " ")
}

// diffPools lists the endpoints that differ, by their names: which pool has them means nothing.
func diffPools(old, new *Config) (list []Change) {
	type one struct{ shown, at string }
	by := func(c *Config) map[string]one {
		m := map[string]one{}
		for i := range c.Pools {
			p := &c.Pools[i]
			for _, e := range p.Endpoints {
				m[e.Name] = one{e.show(p), c.Positions["pool."+p.Name+"."+e.Name]}
			}
		}
		return m
	}
	before, after := by(old), by(new)
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

func (c *Config) explainPool(dest int) (list []Change) {
	for i := range c.Pools {
		p := &c.Pools[i]
		if p.DestinationNumber() != dest {
			continue
		}
		for _, e := range p.Endpoints {
			list = append(list, Change{Scope: p.show(), Key: "endpoint " + e.Name, New: e.show(p), NewPosition: c.Positions["pool."+p.Name+"."+e.Name]})
		}
	}
	return list
}
