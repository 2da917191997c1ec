// Command scaleroute-gossip speaks for a scaleroute daemon to the other forwarders of its fleet. The daemon starts it, where operators have set that.
package main

import (
	"fmt"
	"os"

	"scaleroute/internal/gossip/host"
)

func main() {
	if err := host.Main(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scaleroute-gossip:", err)
		os.Exit(2)
	}
}
