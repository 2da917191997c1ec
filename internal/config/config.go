// Package config reads the configuration that the platform gives a forwarder at startup: a JSON file and environment variables.
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

// Config is the startup configuration of a forwarder.
type Config struct {
	Name        string     `json:"name"`
	Listen      string     `json:"listen"`
	Discovery   string     `json:"discovery"`
	AdminListen string     `json:"ops"` // address of the admin API; empty disables it
	Seed        string     `json:"seed"`
	Limits      Limits     `json:"limits"`
	InitialList agent.List `json:"known"`

	File            string          `json:"-"` // path that the configuration was read from
	StateDir        string          `json:"-"` // directory whose contents survive a restart
	TempDir         string          `json:"-"` // directory for temporary files
	GossipAdvertise string          `json:"-"` // address at which other forwarders reach GossipListen, if it differs
	GossipListen    string          `json:"-"` // address that receives status reports of other forwarders; overrides the operators' setting
	Digest          version.Digest  `json:"-"` // digest of the settings and limits as read
	SocketFD        int             `json:"-"` // descriptor of the clients' listening socket if the platform passes it in; otherwise 0
	Settings        decide.Settings `json:"-"`
}

// Limits are the resources of the machine that the forwarder may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// defaultHandshakeCost is the cost of a new connection, expressed in calls, if the settings have none: it covers a round trip and some CPU.
const defaultHandshakeCost = "0.06"

// reservedDescriptors is the number of descriptors kept for other uses: the listener, the journal and
// its successor, up to 8 list calls to discovery, completion notices, the Go runtime, and a client that waits until there is room for its
// connection. Client connections get two fifths of all descriptors (a third of all carry requests);
// calls and idle connections to endpoints get the rest, and idle ones also most of what clients leave unused.
const reservedDescriptors = 24

// MaxClientConnections returns the maximum number of connections from all clients together.
func (l Limits) MaxClientConnections() int { return l.Sockets * 2 / 5 }

// SpareClientConnections returns how many descriptors for clients are free while so many client connections are open, less a quarter of all that stays for
// those that come next.
func (l Limits) SpareClientConnections(open int) int {
	return max(0, l.MaxClientConnections()*3/4-open)
}

// MaxEndpointConnections returns the maximum number of connections to endpoints, including idle ones.
func (l Limits) MaxEndpointConnections() int {
	return l.Sockets - l.MaxClientConnections() - reservedDescriptors
}

// Load reads the file that NODE_CONFIG names. The other environment variables,
// if set, override the values of the file.
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
			return nil, fmt.Errorf("NODE_SOCKET_FD: %q is not a descriptor number of at least 3: set it to the descriptor of the clients' listening socket, or unset the variable", text)
		}
	}
	c.TempDir, c.GossipListen, c.GossipAdvertise = getenv("TMPDIR"), getenv("NODE_GOSSIP"), getenv("NODE_GOSSIP_ADVERTISE")
	if c.Listen == "" || c.Discovery == "" || c.StateDir == "" {
		return nil, fmt.Errorf("the listen address, the discovery address or the state directory is missing: set NODE_LISTEN, NODE_DISCOVERY and NODE_STATE, or listen and discovery in the configuration file")
	}
	return c, nil
}

// ReadFile reads a configuration file and ignores the environment variables.
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
// replaced while the process runs. Environment variables are ignored: they still
// have the values of the startup.
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
	digested, err := json.Marshal(map[string]any{"settings": raw.Settings, "limits": c.Limits}) // json.Marshal sorts the keys, so equal settings have equal digests
	if err != nil {
		return nil, err
	}
	c.Digest = version.DigestOf(digested)
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	pairs := map[string]string{}
	flatten(pairs, "", raw.Settings)
	if pairs["Costs.Handshake"] == "" { // at a cost of zero no idle connection would be worth keeping
		pairs["Costs.Handshake"] = defaultHandshakeCost
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

// flatten converts nested JSON into the path=value pairs of the simulator's wire format.
// The values of a list of scalars are joined with commas; a list of objects has its
// length under path.count and its items under path.0, path.1 and so on.
func flatten(pairs map[string]string, path string, v any) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, item := range v {
			flatten(pairs, join(name), item)
		}
	case []any:
		scalars := make([]string, 0, len(v))
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				flatten(pairs, join(strconv.Itoa(i)), item)
				pairs[join("count")] = strconv.Itoa(len(v))
			} else {
				scalars = append(scalars, fmt.Sprint(item))
			}
		}
		if len(scalars) > 0 {
			pairs[path] = strings.Join(scalars, ",")
		}
	default:
		pairs[path] = fmt.Sprint(v)
	}
}
