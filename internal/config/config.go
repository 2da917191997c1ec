// Package config reads what the platform tells a forwarder at its start.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"scaleroute/internal/agent"
	"scaleroute/internal/decide"
	"scaleroute/internal/version"
	"scaleroute/internal/wire"
)

// Config is what a forwarder is told at its start.
type Config struct {
	Name        string     `json:"name"`
	Listen      string     `json:"listen"`
	Discovery   string     `json:"discovery"`
	AdminListen string     `json:"ops"` // the operators' door; empty: there is none
	Seed        string     `json:"seed"`
	Limits      Limits     `json:"limits"`
	InitialList agent.List `json:"known"`

	File            string          `json:"-"` // where it was read
	StateDir        string          `json:"-"` // the folder that lasts
	TempDir         string          `json:"-"` // the folder for what need not last
	GossipAdvertise string          `json:"-"` // where they reach it, if that is elsewhere
	GossipListen    string          `json:"-"` // where other forwarders tell what they act under, in place of what operators have set
	Digest          version.Digest  `json:"-"` // of the settings and limits as they were read
	SocketFD        int             `json:"-"` // the clients' listening socket, where the platform holds it; else 0
	Settings        decide.Settings `json:"-"`
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// connectPrice is what a new connection costs, in calls, where the settings don't tell: a round trip and some CPU.
const connectPrice = "0.06"

// Of the descriptors clients get two fifths (they use a third for requests), calls and idle
// connections to targets the rest, but for these: the listener, the journal and its successor,
// discovery, notices, the runtime's own, and a client that waits for room.
const ownDescriptors = 24

// MaxClientConnections is how many connections clients may hold together.
func (l Limits) MaxClientConnections() int { return l.Sockets * 2 / 5 }

// MaxEndpointConnections is how many connections to endpoints there may be, idle ones counted.
func (l Limits) MaxEndpointConnections() int {
	return l.Sockets - l.MaxClientConnections() - ownDescriptors
}

// Load reads the file that NODE_CONFIG names. The other variables, where
// set, go before what the file says.
func Load(getenv func(string) string) (*Config, error) {
	c, err := ReadFile(getenv("NODE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	for name, field := range map[string]*string{"NODE_NAME": &c.Name, "NODE_LISTEN": &c.Listen,
		"NODE_DISCOVERY": &c.Discovery, "NODE_STATE": &c.StateDir, "NODE_OPS": &c.AdminListen} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if text := getenv("NODE_SOCKET_FD"); text != "" {
		if c.SocketFD, err = strconv.Atoi(text); err != nil || c.SocketFD < 3 {
			return nil, fmt.Errorf("NODE_SOCKET_FD: %q is no number of a descriptor from 3 on: name the one that the clients' listening socket is, or leave it out", text)
		}
	}
	c.TempDir, c.GossipListen, c.GossipAdvertise = getenv("TMPDIR"), getenv("NODE_GOSSIP"), getenv("NODE_GOSSIP_ADVERTISE")
	if c.Listen == "" || c.Discovery == "" || c.StateDir == "" {
		return nil, fmt.Errorf("no address to listen on, none of discovery, or no folder for the state")
	}
	return c, nil
}

// ReadFile reads a file alone.
func ReadFile(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	c.File = file
	return c, nil
}

// ReadDiscovery reads the address of discovery from a configuration file that was
// replaced. The variables are those of the start and say nothing of it.
func ReadDiscovery(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var c struct {
		Discovery string `json:"discovery"`
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return "", err
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	return c.Discovery, nil
}

func parse(text []byte) (*Config, error) {
	var raw struct {
		Config
		Settings any `json:"settings"`
	}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	if err := d.Decode(&raw); err != nil {
		return nil, err
	}
	c := raw.Config
	own, err := json.Marshal(map[string]any{"settings": raw.Settings, "limits": c.Limits}) // keys in order
	if err != nil {
		return nil, err
	}
	c.Digest = version.DigestOf(own)
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	pairs := map[string]string{}
	flatten(pairs, "", raw.Settings)
	if pairs["Costs.Handshake"] == "" { // unpriced, no connection would be worth keeping
		pairs["Costs.Handshake"] = connectPrice
	}
	pairs["InitSeed"] = strconv.FormatUint(seed, 10)
	if c.Settings, err = wire.ParseSettings(pairs); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = 192
	}
	if c.Limits.DiskMB <= 0 {
		c.Limits.DiskMB = 3
	}
	return &c, nil
}

// flatten turns nested JSON into the path=value pairs of the simulator's wire:
// a list of plain values is joined with commas, a list of objects has its
// length under .count and its items under .0, .1 and so on.
func flatten(pairs map[string]string, path string, v any) {
	under := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, item := range v {
			flatten(pairs, under(name), item)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				flatten(pairs, under(strconv.Itoa(i)), item)
				pairs[under("count")] = strconv.Itoa(len(v))
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		if len(plain) > 0 {
			pairs[path] = strings.Join(plain, ",")
		}
	default:
		pairs[path] = fmt.Sprint(v)
	}
}
