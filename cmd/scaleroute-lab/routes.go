package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"scaleroute/internal/operator"
	"scaleroute/internal/route"
	"scaleroute/internal/standin"
)

// takenWithin is how long the program may take until a file that it was told to read is in use.
const takenWithin = time.Second

// routes are generated ones, others in each version of the file.
type routes struct {
	n, destinations int
	seed            uint64

	mu   sync.Mutex
	told []routesTold // in the order of time
}

// routesTold is a version, and when the program was told to read it.
type routesTold struct {
	at   time.Time
	ways *operator.Routes
}

const campaigns = 40

// campaign is what a client says beside its class and destination.
func campaign(rng *rand.Rand) string {
	return fmt.Sprintf("campaign=%c%d", 'a'+rune(rng.IntN(3)), rng.IntN(campaigns))
}

// version makes routes between the destinations, by class, destination, and campaigns or their beginnings, none of equal rank.
func (r *routes) version(n int) *operator.Config {
	rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
	c := operator.Default()
	for d := range r.destinations {
		c.Pools = append(c.Pools, operator.Pool{Name: fmt.Sprintf("to %04d", d), Destination: &d, Discovered: true})
	}
	for tries := range r.n {
		one := operator.Route{Name: fmt.Sprintf("%04d", tries), Pool: c.Pools[rng.IntN(len(c.Pools))].Name}
		if rng.IntN(3) > 0 {
			one.Destinations = []int{rng.IntN(r.destinations)}
		}
		if rng.IntN(3) == 0 {
			one.Classes = []string{[]string{standin.Safe, standin.Unsafe}[rng.IntN(2)]}
		}
		switch rng.IntN(4) {
		case 0:
			one.Fields = map[string]string{"campaign": fmt.Sprintf("%c%d", 'a'+rune(rng.IntN(3)), rng.IntN(campaigns))}
		case 1:
			one.Fields = map[string]string{"campaign": fmt.Sprintf("%c%d*", 'a'+rune(rng.IntN(3)), rng.IntN(4))}
		case 2:
			one.Fields = map[string]string{"campaign": fmt.Sprintf("%c*", 'a'+rune(rng.IntN(3)))}
		}
		if len(one.Destinations)+len(one.Classes)+len(one.Fields) == 0 {
			continue
		}
		c.Routes = append(c.Routes, one)
	}
	for { // without those that are equal to another one, or never taken
		bad := map[string]bool{}
		for _, p := range c.Check() {
			bad[strings.TrimPrefix(p.Key, "route.")] = true
		}
		if len(bad) == 0 {
			return c
		}
		c.Routes = slices.DeleteFunc(c.Routes, func(one operator.Route) bool { return bad[one.Name] })
	}
}

// setRoutes gives the program a file that sets them.
func (p *program) setRoutes(r *routes) (*operators, error) {
	o := &operators{path: filepath.Join(p.dir, "operators.json"), limits: operator.Default().NewLimits(), routes: r}
	if err := o.next(); err != nil {
		return nil, err
	}
	p.command = append(p.command, "-operators", o.path)
	return o, o.put(o.text)
}

// next makes the text of the next version, and notes that the program hears of it now.
func (o *operators) next() error {
	r := o.routes
	c := r.version(o.version)
	o.version++
	ways, err := c.NewRoutes()
	if err != nil {
		return err
	}
	if o.text, err = json.Marshal(c); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, routesTold{time.Now(), ways})
	return nil
}

// goals are the destinations that a message may go to: by each version that may have been in use while it was handed in.
func (r *routes) goals(h *standin.Handed) (list []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := h.Answered
	if until.IsZero() {
		until = h.Sent.Add(standin.AnswerTime)
	}
	class := standin.Safe
	if h.Unsafe {
		class = standin.Unsafe
	}
	field := func(string) (string, bool) { return h.Fields[len("campaign="):], true }
	for i, v := range r.told {
		if v.at.After(until) || i+1 < len(r.told) && h.Sent.After(r.told[i+1].at.Add(takenWithin)) {
			continue
		}
		to := h.Destination
		if way := v.ways.Find(&route.Message{Front: "resp2", Class: class, Destination: h.Destination, Field: field}); way != nil {
			to = way.Destination
		}
		if !slices.Contains(list, to) {
			list = append(list, to)
		}
	}
	return list
}
