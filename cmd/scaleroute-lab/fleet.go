package main

import (
	"io"

	"scaleroute/internal/steplog"
)

// fleetCount counts over the logs of a fleet's forwarders.
type fleetCount struct {
	Seconds  bool   `help:"A row for each second, not for each destination."`
	Dest     int    `default:"-1" help:"Of this destination alone."`
	Restarts bool   `help:"What became of what restarts took up from their journals, a row for each folder of logs."`
	Folder   string `arg:"" type:"existingdir" help:"Where the logs are."`
}

// Run counts.
func (c *fleetCount) Run(out io.Writer) error {
	if c.Restarts {
		all, err := steplog.CountRestarts(c.Folder)
		if err != nil {
			return err
		}
		steplog.WriteRestartTable(out, all)
		return nil
	}
	all, err := steplog.CountFolder(c.Folder)
	if err != nil {
		return err
	}
	steplog.WriteTable(out, all, c.Seconds, c.Dest)
	return nil
}
