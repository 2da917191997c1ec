package agent

import "io"

// ReadList reads a list as discovery and control servers send it. With whole set, it is a snapshot whatever it says. Invalid entries are skipped and
// named in the log.
func ReadList(from io.Reader, whole bool) (*List, error) { return readList(from, whole) }
