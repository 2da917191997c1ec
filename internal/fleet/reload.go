package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// formerAddressOpen is how long the former address of discovery keeps its connections after a reload.
const formerAddressOpen = 1500 * time.Millisecond

// MoveDiscovery replaces the address of discovery in a forwarder's configuration, and tells the process by SIGHUP. It returns when that was. The former address
// closes its connections a while later. The process must not end meanwhile.
func (n *Node) MoveDiscovery() (reloaded time.Time, err error) {
	former := n.List
	if n.List, err = NewEdge("127.0.0.1:0", n.Discovery.Address(), uint64(n.number)); err != nil {
		return reloaded, err
	}
	if err := n.setConfigured("discovery", n.List.Address()); err != nil {
		return reloaded, err
	}
	reloaded = time.Now()
	time.AfterFunc(formerAddressOpen, func() { former.Close() })
	return reloaded, n.Process().Signal(syscall.SIGHUP)
}

// setConfigured replaces a field in a forwarder's configuration file.
func (n *Node) setConfigured(field, value string) error {
	path := filepath.Join(n.rig.Dir, n.Name, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	if fields[field], err = json.Marshal(value); err != nil {
		return err
	}
	if text, err = json.Marshal(fields); err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
