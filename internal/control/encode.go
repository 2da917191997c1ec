package control

import (
	"encoding/json"
	"strconv"

	"scaleroute/internal/agent"
)

// The encoder of responses is hand-written: the part of one forwarder has a thousand entries, and encoding/json takes five times as long.

// appendListHeader appends the start of a list in discovery's JSON format. The entries and listEnd follow it.
func appendListHeader(to []byte, index int64, snapshot bool) []byte {
	to = append(to, `{"index":`...)
	to = strconv.AppendInt(to, index, 10)
	to = append(to, `,"snapshot":`...)
	to = strconv.AppendBool(to, snapshot)
	return append(to, `,"endpoints":[`...)
}

const listEnd = "]}\n"

// appendEntry appends one entry of a list, with a comma in front unless it is the first. Empty fields are omitted.
func appendEntry(to []byte, e *agent.Endpoint, first bool) []byte {
	if !first {
		to = append(to, ',')
	}
	to = appendString(append(to, `{"name":`...), e.Name)
	to = appendField(to, `,"address":`, e.Address)
	to = appendField(to, `,"zone":`, e.Zone)
	to = appendField(to, `,"type":`, e.Type)
	to = append(to, `,"group":`...)
	to = strconv.AppendInt(to, int64(e.Group), 10)
	to = appendField(to, `,"status":`, e.Status)
	if e.Weight != 0 {
		to = append(to, `,"weight":`...)
		to = strconv.AppendFloat(to, e.Weight, 'g', -1, 64)
	}
	if e.SinceMS != 0 {
		to = append(to, `,"since_ms":`...)
		to = strconv.AppendInt(to, int64(e.SinceMS), 10)
	}
	return append(to, '}')
}

func appendField(to []byte, key, text string) []byte {
	if text == "" {
		return to
	}
	return appendString(append(to, key...), text)
}

func appendString(to []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // marshalling a string can't fail
			return append(to, quoted...)
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
}
