package scale

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/operator"
	"scaleroute/internal/ownership"
)

const (
	leaseWithin = 2 * time.Minute // until all know of a member that came or left
	listWithin  = 2 * time.Minute // until a control server has the whole list
	listPause   = 100 * time.Millisecond
	settleTime  = 5 * time.Second // servers gather members for 3 s, and tell each other of them
)

// startControls starts the control servers of a cell, and waits until each has the whole list.
func (b *bench) startControls() error {
	s := b.rig.Scenario
	addresses := make([]string, s.ControlServers)
	for i := range addresses {
		var err error
		if addresses[i], err = fleet.FreePort(); err != nil {
			return err
		}
	}
	for i, address := range addresses {
		if err := b.startControl(i, address, addresses); err != nil {
			return err
		}
	}
	for _, c := range b.controls {
		if err := awaitList(c.Address()); err != nil {
			return fmt.Errorf("%w; its log ends:\n%s", err, c.Tail())
		}
	}
	return nil
}

// startControl starts one control server at an address, with the others as its peers.
func (b *bench) startControl(number int, address string, all []string) error {
	name := fmt.Sprintf("control-%d", number)
	state := filepath.Join(b.dir, name)
	if err := os.MkdirAll(state, 0o700); err != nil {
		return err
	}
	layout := ownership.Layout{Partitions: b.cell.Partitions, Replicas: b.rig.Scenario.Replicas}
	command := append(slices.Clone(b.rig.Control), controlFlags(name, address, b.directory.Address(), state, all, layout)...)
	process, err := fleet.Launch(command, os.Environ(), nil, nil)
	if err != nil {
		return err
	}
	b.controls = append(b.controls, &realProcess{Process: process})
	return process.Ready()
}

// controlFlags are those of a control server among others.
func controlFlags(name, address, upstream, state string, all []string, layout ownership.Layout) []string {
	flags := []string{"--name=" + name, "--listen=" + address, "--upstream=" + upstream, "--state=" + state,
		fmt.Sprintf("--partitions=%d", layout.Partitions), fmt.Sprintf("--replicas=%d", layout.Replicas)}
	if peers := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == address }); len(peers) > 0 {
		flags = append(flags, "--peers="+strings.Join(peers, ","))
	}
	return flags
}

// awaitList waits until a control server has a list.
func awaitList(address string) error {
	path := "http://" + address + "/v1/servers?destinations=" + ownership.NewSet(0).String()
	var last error
	for end := time.Now().Add(listWithin); time.Now().Before(end); time.Sleep(listPause) {
		response, err := http.Get(path)
		if err != nil {
			last = err
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("%s: status %d", path, response.StatusCode)
	}
	return fmt.Errorf("no list within %v: %w", listWithin, last)
}

// realCommand is the command of a real forwarder, with what operators have set for it.
func (b *bench) realCommand(dir string, edges []*fleet.Edge) ([]string, error) {
	s := b.rig.Scenario
	if s.Mechanism != PartialList {
		return b.rig.Forwarder, nil
	}
	set := operator.Default()
	set.Control = &operator.Control{Servers: addressesOf(edges), Partitions: b.cell.Partitions, Replicas: s.Replicas, MaxFetched: s.Cached, LookupBytesPerSecond: int64(s.LookupBytes)}
	text, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "operators.json")
	return append(slices.Clone(b.rig.Forwarder), "-operators", file), os.WriteFile(file, text, 0o600)
}

// holdLeases has those members hold their leases that are neither simulated nor real, and waits until the servers tell of them.
func (b *bench) holdLeases() (err error) {
	rest := b.cell.Members - b.cell.Forwarders - b.rig.Scenario.Real
	if b.rig.Scenario.Mechanism != PartialList || rest <= 0 {
		return nil
	}
	if b.leases, err = startHost(b.rig.Host, 0, 0); err != nil {
		return err
	}
	if _, err = b.leases.ask(&Request{Operation: HoldLeases, Members: rest, Addresses: b.sources()}); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// awaitMembers waits until all simulated nodes know all forwarders, and have their parts.
func (b *bench) awaitMembers() error { return b.await(b.members()) }

func (b *bench) await(members int) error {
	_, err := b.askAll(func(h *simulatedHost) ([]time.Duration, error) {
		_, err := h.ask(&Request{Operation: AwaitMembers, Members: members, Within: leaseWithin})
		return nil, err
	})
	return err
}

// readParts reads what all simulated nodes own.
func (b *bench) readParts() (parts []Part, err error) {
	for _, h := range b.hosts {
		a, err := h.ask(&Request{Operation: Parts})
		if err != nil {
			return nil, err
		}
		parts = append(parts, a.Parts...)
	}
	return parts, nil
}

// leave notes how even the parts are. Where the scenario asks for it, one node leaves then, and what others gain by that is counted.
func (b *bench) leave() error {
	s := b.rig.Scenario
	if s.Mechanism != PartialList {
		return nil
	}
	before, err := b.readParts()
	if err != nil {
		return err
	}
	b.result.PartsMean, b.result.PartsMaxOver = spreadOfParts(before)
	if !s.LeaveForwarder {
		return nil
	}
	last := b.hosts[len(b.hosts)-1]
	if _, err := last.ask(&Request{Operation: LeaveNodes, Last: 1}); err != nil {
		return err
	}
	if err := b.await(b.members() - 1); err != nil {
		return err
	}
	after, err := b.readParts()
	if err != nil {
		return err
	}
	b.result.Moved = movedOverPart(before[len(before)-1], after)
	return nil
}

// impair has the machine of one control server fall silent, and times a change that is made at that moment.
func (b *bench) impair() (err error) {
	if !b.rig.Scenario.KillControl || len(b.controls) < 2 {
		return nil
	}
	for _, h := range b.hosts {
		h.edges[0].Set(fleet.Fault{Silent: fleet.Up | fleet.Down})
	}
	b.result.InForceImpaired, err = b.timeChange()
	return err
}
