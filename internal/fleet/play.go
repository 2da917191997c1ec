package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/door"
	"scaleroute/internal/standin"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// player carries a scenario's acts out.
type player struct {
	s      *Scenario
	r      *Rig
	rng    *rand.Rand
	tagged map[string][]*Node
	wants  uint64
	wg     sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// Play carries out what the scenario says, at its times from now on, until it is over. Ends and starts of processes go on beside.
func (s *Scenario) Play(ctx context.Context, r *Rig) error {
	p := &player{s: s, r: r, rng: rand.New(rand.NewPCG(s.Seed, 0x91a7)), tagged: map[string][]*Node{}}
	for i := range s.Steps { // the fleet may be another than the file's
		for _, name := range s.Steps[i].Who {
			if r.Node(name) == nil {
				return fmt.Errorf("%s:%d: there is no forwarder %q in a fleet of %d", s.file, s.Steps[i].where.Start.Line, name, len(r.Nodes))
			}
		}
	}
	began := time.Now()
	for i := range s.Steps {
		a := &s.Steps[i]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(a.At))):
		}
		who := p.who(a)
		r.Note("", a.Do, p.about(a, who))
		if err := p.do(a, who); err != nil {
			return fmt.Errorf("%s:%d: %s: %w", s.file, a.where.Start.Line, a.Do, err)
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(began.Add(s.Length))):
	}
	p.wg.Wait()
	return errors.Join(p.errs...)
}

func (p *player) about(a *Act, who []*Node) string {
	text := ""
	if acts[a.Do] == "target" {
		text = p.r.World.Endpoints[a.Target].Name + " "
	}
	if len(who) == len(p.r.Nodes) {
		return text + "all"
	}
	for i, n := range who {
		if i == 8 {
			return fmt.Sprintf("%s... %d in all", text, len(who))
		}
		text += n.Name + " "
	}
	return text
}

// who are those that an act is about: named, tagged, a share that is drawn, or all.
func (p *player) who(a *Act) (list []*Node) {
	switch {
	case len(a.Who) > 0:
		for _, name := range a.Who {
			list = append(list, p.r.Node(name))
		}
	case a.Share > 0:
		drawn := map[*Node]bool{} // by any tag: each trouble has its own
		for _, of := range p.tagged {
			for _, n := range of {
				drawn[n] = true
			}
		}
		for _, i := range p.rng.Perm(len(p.r.Nodes)) {
			if n := p.r.Nodes[i]; !drawn[n] && len(list) < max(1, int(a.Share*float64(len(p.r.Nodes)))) {
				list = append(list, n)
			}
		}
	case a.Tag != "" && p.tagged[a.Tag] != nil:
		return p.tagged[a.Tag]
	default:
		list = p.r.Nodes
	}
	if a.Tag != "" {
		p.tagged[a.Tag] = list
	}
	return list
}

// beside has something done while the scenario goes on.
func (p *player) beside(do func() error) {
	p.wg.Go(func() {
		if err := do(); err != nil {
			p.mu.Lock()
			p.errs = append(p.errs, err)
			p.mu.Unlock()
		}
	})
}

// do carries out one act on some nodes.
func (p *player) do(a *Act, who []*Node) error {
	switch acts[a.Do] {
	case "target":
		return p.changeTarget(a, who)
	case "edge":
		p.setFault(a, who)
	case "list":
		p.changeDiscovery(a, who)
	case "file":
		return p.setOperators(a, who)
	case "want":
		return p.want(a.Delay)
	case "who":
		if a.Folder == "swapped" && a.Do == "restart" {
			return p.swap(who)
		}
		return p.changeProcesses(a, who)
	}
	return nil
}

// changeTarget changes what the lists of some nodes say of a target, or how the target answers.
func (p *player) changeTarget(a *Act, who []*Node) error {
	e := p.r.World.Endpoints[a.Target]
	switch a.Do {
	case "drain":
		p.lists(who, standin.Draining, e)
	case "delete":
		p.lists(who, standin.Deleted, e)
	case "serve":
		p.lists(who, standin.Serving, e)
	case "replace": // its address is another's from now on
		p.lists(who, standin.Deleted, e)
		heir := p.r.Replace(e, (e.Group+1)%p.s.Destinations)
		if heir == nil {
			return fmt.Errorf("%s was replaced before", e.Name)
		}
		p.lists(who, standin.Serving, heir)
	case "silent":
		e.Set(standin.Script{Silent: true})
	case "well":
		e.Set(standin.Script{Latency: p.s.Takes, Jitter: p.s.Takes})
	}
	return nil
}

// fault is the fault of an edge that an act calls for; none for an act that heals.
func (a *Act) fault() (f Fault) {
	switch a.Do {
	case "cut":
		f.Cut = true
	case "silence":
		f.Silent = map[string]Way{"up": Up, "down": Down, "both": Up | Down}[a.Way]
	case "delay":
		f.Delay, f.Jitter = a.Delay, a.Delay/2
	case "thin":
		f.Piece, f.Delay = max(1, a.Bytes), a.Delay
	case "reset":
		f.Reset = a.Odds
	case "lose":
		f.Loss = a.Odds
	}
	return f
}

// setFault puts a fault on edges of some nodes, or heals them.
func (p *player) setFault(a *Act, who []*Node) {
	f := a.fault()
	if a.Edge == "members" || a.Edge == "all" {
		p.r.Between(who, f)
	}
	for _, n := range who {
		for _, e := range n.Edges(a.Edge) {
			e.Set(f)
		}
	}
}

// changeDiscovery changes the discovery of some nodes.
func (p *player) changeDiscovery(a *Act, who []*Node) {
	endpoints := p.r.World.Endpoints
	for i, n := range who {
		switch a.Do {
		case "lag":
			n.Discovery.Lag(a.Delay)
		case "down", "up":
			n.Discovery.Down(a.Do == "down")
		case "fork": // the same index as others, and another target
			n.Discovery.Set(standin.Draining, endpoints[(a.Target+i)%len(endpoints)])
		}
	}
}

// setOperators gives all nodes an operators' file, and signals some of them to reload it if that is asked for.
func (p *player) setOperators(a *Act, who []*Node) error {
	path := a.File
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(p.s.file), path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, n := range p.r.Nodes {
		if err := n.SetOperators(text); err != nil {
			return err
		}
		if !a.Signal || slices.Contains(p.tagged[a.But], n) || len(who) != len(p.r.Nodes) && !slices.Contains(who, n) {
			continue
		}
		if pr := n.Process(); pr != nil {
			if err := pr.Signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
	}
	return nil
}

// changeProcesses stops, continues, ends or restarts the processes of some nodes.
func (p *player) changeProcesses(a *Act, who []*Node) error {
	for _, n := range who {
		switch a.Do {
		case "stop":
			if err := n.Stop(); err != nil {
				return err
			}
		case "continue":
			if err := n.Continue(); err != nil {
				return err
			}
		case "kill":
			p.beside(n.Kill)
		case "end":
			p.beside(n.End)
		case "restart":
			damage := func() error { return n.DamageFolder(p.s.Seed) }
			change := map[string]func() error{"lost": n.LoseFolder, "damaged": damage}[a.Folder]
			p.beside(func() error { return n.Restart(n.Kill, change) })
		}
	}
	return nil
}

// want puts a desired version to the members: the newest list that any of them acts on, and the operators'
// file of most.
func (p *player) want(deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var to *door.Client
	want := straggler.Desired{By: "scenario", Deadline: deadline}
	files, most := map[version.Digest]int{}, 0
	for _, n := range p.r.Nodes {
		pr := n.Process()
		if pr == nil || pr.Door() == "" || n.Stopped() {
			continue
		}
		client := door.NewClient(pr.Door())
		acts, err := versionsOf(ctx, client)
		if err != nil {
			return fmt.Errorf("%s: %w", n.Name, err)
		}
		to = client
		want.Version.Index = max(want.Version.Index, acts.List.Index)
		set := acts.Operators.Digest
		if files[set]++; files[set] > most {
			want.Version.Operators, most = set, files[set]
		}
	}
	if to == nil {
		return errors.New("nobody runs to whom it could be put")
	}
	p.wants++
	want.Gen = p.wants
	text, err := json.Marshal(want)
	if err == nil {
		_, err = to.Put(ctx, "/fleet/want", text)
	}
	return err
}

// versionsOf is what a member acts on.
func versionsOf(ctx context.Context, client *door.Client) (version.Vector, error) {
	var acts struct {
		Vector version.Vector `json:"vector"`
	}
	text, err := client.Call(ctx, "GET", "/versions")
	if err == nil {
		err = json.Unmarshal([]byte(text), &acts)
	}
	return acts.Vector, err
}

// lists tells the state of a target to some agents; all others keep what they have.
func (p *player) lists(who []*Node, state string, e *standin.Endpoint) {
	for _, n := range who {
		n.Discovery.Set(state, e)
	}
}

// swap restarts pairs with each other's folder.
func (p *player) swap(who []*Node) error {
	for i := 0; i+1 < len(who); i += 2 {
		a, b := who[i], who[i+1]
		p.beside(func() error {
			ended := time.Now()
			if err := errors.Join(a.Kill(), b.Kill()); err != nil {
				return err
			}
			gone := time.Now()
			SwapFolders(a, b)
			for _, n := range []*Node{a, b} {
				if err := n.Start(); err != nil {
					return err
				}
				n.SetAway(false)
				n.Log.Restarted(standin.Restart{Ended: ended, Gone: gone, Ready: time.Now()})
			}
			return nil
		})
	}
	return nil
}
