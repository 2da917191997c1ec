// Command scaleroute-plugin-host is the host process in which one plug-in runs. The daemon starts it; docs/plugins.md says when.
// It has no flags, and communicates only over its standard input and output.
package main

import (
	"os"

	"scaleroute/internal/plugin/host"
)

func main() { os.Exit(host.Main()) }
