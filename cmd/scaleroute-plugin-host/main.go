// Command scaleroute-plugin-host is the process in which one plug-in runs. The daemon starts it; docs/plugins.md says when. It has no
// flags, and talks on its standard input and output alone.
package main

import (
	"os"

	"scaleroute/internal/plugin/host"
)

func main() { os.Exit(host.Main()) }
