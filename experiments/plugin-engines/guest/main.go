// Command guest is the WebAssembly side of the comparison: it renames one field of a JSON object.
// Build: GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o guest.wasm ./guest
package main

import (
	"encoding/json"
	"unsafe"
)

var (
	in  = make([]byte, 1<<17)
	out []byte
)

//go:wasmexport input
func input() uint32 { return uint32(uintptr(unsafe.Pointer(&in[0]))) }

//go:wasmexport output
func output() uint32 { return uint32(uintptr(unsafe.Pointer(&out[0]))) }

//go:wasmexport rename
func rename(n uint32) uint32 {
	var m map[string]any
	if json.Unmarshal(in[:n], &m) != nil {
		return 0
	}
	m["council"] = m["municipality"]
	delete(m, "municipality")
	out, _ = json.Marshal(m)
	return uint32(len(out))
}

//go:wasmexport spin
func spin() {
	for i := 0; ; i++ {
		in[i&1023]++
	}
}

//go:wasmexport grow
func grow() {
	for {
		out = append(out, make([]byte, 1<<20)...)
	}
}

func main() {}
