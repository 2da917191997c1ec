package agent

import "io"

// ReadList reads a list as discovery and control servers send it. whole: it is a snapshot, whatever it says. Entries that can't be right are left out, and
// the log names them.
func ReadList(from io.Reader, whole bool) (*List, error) { return readList(from, whole) }
