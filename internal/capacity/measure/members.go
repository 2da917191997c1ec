package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"scaleroute/internal/capacity"
	"scaleroute/internal/door"
	"scaleroute/internal/fleet"
	"scaleroute/internal/operator"
)

const (
	gossipMessages  = "gossip-messages"
	gossipProcessor = "gossip-processor"
	gossipState     = "gossip-state"
	memberProcessor = "gossip-forwarder-processor"
	memberState     = "gossip-forwarder-state"
	toolWork        = "gossip-tool-status-work"
	toolState       = "gossip-tool-status-state"
)

const (
	membersSettle  = 20 * time.Second // until news of the start have passed
	membersWindow  = 60 * time.Second
	membersNote    = "Calm, 60 s from 20 s after the last one knew all; no messages; mean over the members."
	membersAllSeen = 90 * time.Second
)

var membersMeasurement = measurement{
	about: "what members of a fleet that gossips cost each other: bytes, processor and memory",
	sizes: []int{10, 30, 90},
	series: map[string]capacity.Series{
		gossipMessages:  {Mechanism: capacity.Gossip, Role: capacity.GossipProcess, Resource: capacity.Messages, Variable: capacity.Members, Statistic: "mean", Note: membersNote + " Sent by each, payload of packets and connections."},
		gossipProcessor: {Mechanism: capacity.Gossip, Role: capacity.GossipProcess, Resource: capacity.Processor, Variable: capacity.Members, Statistic: "mean", Note: membersNote},
		gossipState:     {Mechanism: capacity.Gossip, Role: capacity.GossipProcess, Resource: capacity.State, Variable: capacity.Members, Statistic: "mean", Note: membersNote},
		memberProcessor: {Mechanism: capacity.Gossip, Role: capacity.Forwarder, Resource: capacity.Processor, Variable: capacity.Members, Statistic: "mean", Note: membersNote},
		memberState:     {Mechanism: capacity.Gossip, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.Members, Statistic: "mean", Note: membersNote},
		toolWork:        {Mechanism: capacity.Gossip, Role: capacity.OperatorsTool, Resource: capacity.Work, Variable: capacity.Members, Note: "scaleroutectl fleet status by one member's view."},
		toolState:       {Mechanism: capacity.Gossip, Role: capacity.OperatorsTool, Resource: capacity.State, Variable: capacity.Members, Note: "scaleroutectl fleet status by one member's view."},
	},
	run: measureMembers,
}

// usage is what one process has used.
type usage struct {
	processor time.Duration
	peakBytes float64
}

func measureMembers(ctx context.Context, l *Lab, members int, seed uint64, into result) error {
	rig, err := startFleet(ctx, l, members, seed)
	if err != nil {
		return err
	}
	defer rig.Close()
	if err := awaitMembers(ctx, rig, members); err != nil {
		return err
	}
	if err := pause(ctx, l.window(membersSettle)); err != nil {
		return err
	}
	began, passed := time.Now(), rig.Mesh.Passed()
	ownBefore, helpersBefore := used(rig)
	if err := pause(ctx, l.window(membersWindow)); err != nil {
		return err
	}
	seconds, n := time.Since(began).Seconds(), float64(members)
	own, helpers := used(rig)
	into.add(gossipMessages, n, float64(rig.Mesh.Passed()-passed)/seconds/n, seed)
	into.add(gossipProcessor, n, (helpers.processor-helpersBefore.processor).Seconds()/seconds/n, seed)
	into.add(gossipState, n, helpers.peakBytes/n, seed)
	into.add(memberProcessor, n, (own.processor-ownBefore.processor).Seconds()/seconds/n, seed)
	into.add(memberState, n, own.peakBytes/n, seed)
	return measureTool(ctx, l, rig.Nodes[0].Process().Door(), n, seed, into)
}

func startFleet(ctx context.Context, l *Lab, members int, seed uint64) (rig *fleet.Rig, err error) {
	dir, err := os.MkdirTemp(l.Folder, "fleet-")
	if err != nil {
		return nil, err
	}
	shape := fleet.Shape{Forwarders: members, Destinations: 2, Targets: 3, Left: 2 * time.Second, Seed: seed, Command: []string{l.Program}, Dir: dir}
	if shape.Mesh, err = fleet.NewMesh(members, seed); err != nil {
		return nil, err
	}
	if shape.Set, err = joining(l.Operators, shape.Mesh.Told(0)); err != nil {
		return nil, err
	}
	if rig, err = fleet.New(shape); err != nil {
		return nil, err
	}
	if err := rig.Start(ctx); err != nil {
		rig.Close()
		return nil, err
	}
	return rig, nil
}

// joining is the resolved operators' file of a fleet with another member to join.
func joining(path, member string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	set, err := operator.Decode(path, text)
	if err != nil {
		return nil, err
	}
	if set.Fleet == nil || set.Fleet.Gossip == nil {
		return nil, fmt.Errorf("%s: it sets no block fleet with gossip: name one that does", path)
	}
	set.Fleet.Gossip.Join = []string{member}
	return json.Marshal(set)
}

// awaitMembers waits until each sees all.
func awaitMembers(ctx context.Context, rig *fleet.Rig, members int) error {
	ctx, cancel := context.WithTimeout(ctx, membersAllSeen)
	defer cancel()
	for _, node := range rig.Nodes {
		for seen := 0; seen < members; {
			text, err := door.NewClient(node.Process().Door()).Call(ctx, "GET", "/fleet")
			if err != nil {
				return err
			}
			var view struct {
				Members []struct{} `json:"members"`
			}
			if err := json.Unmarshal([]byte(text), &view); err != nil {
				return err
			}
			if seen = len(view.Members); seen < members {
				if err := pause(ctx, settleLook); err != nil {
					return fmt.Errorf("%s sees %d of %d members: %w", node.Name, seen, members, err)
				}
			}
		}
	}
	return nil
}

// used sums over the members: their own processes, and those that speak for them.
func used(rig *fleet.Rig) (own, helpers usage) {
	for _, node := range rig.Nodes {
		process := node.Process()
		own.processor += process.CPU()
		own.peakBytes += float64(process.Measure() * bytesOfKB)
		helpers.processor += process.Helpers()
		for _, child := range process.Children() {
			helpers.peakBytes += peakOf(child)
		}
	}
	return own, helpers
}

// peakOf is the largest resident memory of a process so far, in bytes; 0 if there is none.
func peakOf(pid string) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", pid, "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(fields[0], 64)
	return kb * bytesOfKB
}

// measureTool has the operators' tool ask one member how all stand. Its exit status says the worst that it saw.
func measureTool(ctx context.Context, l *Lab, address string, members float64, seed uint64, into result) error {
	cmd := exec.CommandContext(ctx, l.Tool, "fleet", "status", "--at", address)
	var shown bytes.Buffer
	cmd.Stdout, cmd.Stderr = &shown, &shown
	err := cmd.Run()
	if cmd.ProcessState == nil || cmd.ProcessState.ExitCode() == exitCannot {
		return fmt.Errorf("scaleroutectl fleet status: %w\n%s", err, shown.String())
	}
	usage := cmd.ProcessState.SysUsage().(*syscall.Rusage)
	into.add(toolWork, members, (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds(), seed)
	into.add(toolState, members, float64(usage.Maxrss*bytesOfKB), seed)
	return nil
}

const exitCannot = 2 // the tool could not do what was asked

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
