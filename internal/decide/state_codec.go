package decide

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

var errDecodeState = errors.New("invalid saved state of the decision module")

// stateCodec encodes or decodes one value after the other, so that one list of fields serves both directions.
// After an error it decodes nothing more.
type stateCodec struct {
	buf      []byte
	decoding bool
	err      error
}

func (c *stateCodec) fail(what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s, %d bytes before its end", errDecodeState, what, len(c.buf))
	}
	c.buf = nil
}

func (c *stateCodec) uint(v *uint64) {
	if !c.decoding {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	got, n := binary.Uvarint(c.buf)
	if n <= 0 {
		c.fail("truncated or oversized integer")
		return
	}
	*v, c.buf = got, c.buf[n:]
}

func serializeInt[T ~int | ~int8 | ~int64](c *stateCodec, v *T) {
	u := uint64(int64(*v)<<1) ^ uint64(int64(*v)>>63)
	if c.uint(&u); c.decoding {
		*v = T(int64(u>>1) ^ -int64(u&1))
	}
}

func (c *stateCodec) times(list ...*time.Duration) {
	for _, v := range list {
		serializeInt(c, v)
	}
}

func (c *stateCodec) ints(list ...*int) {
	for _, v := range list {
		if serializeInt(c, v); *v < 0 {
			c.fail("negative number")
			*v = 0
		}
	}
}

func (c *stateCodec) floats(list ...*float64) {
	for _, v := range list {
		u := math.Float64bits(*v)
		if c.uint(&u); !c.decoding {
			continue
		}
		if *v = math.Float64frombits(u); math.IsNaN(*v) {
			c.fail("not-a-number value")
		}
	}
}

func (c *stateCodec) bools(list ...*bool) {
	for _, v := range list {
		n := int(oneIf(*v))
		if serializeInt(c, &n); c.decoding {
			*v = n == 1
		}
	}
}

func (c *stateCodec) counts(list ...*decayingCount) {
	for _, v := range list {
		c.floats(&v.value)
		c.times(&v.at)
	}
}

func (c *stateCodec) text(v *string) {
	n := c.length(len(*v))
	if !c.decoding {
		c.buf = append(c.buf, *v...)
	} else if c.err == nil {
		*v, c.buf = string(c.buf[:n]), c.buf[n:]
	}
}

// length encodes or decodes how many items follow, each of at least one byte.
func (c *stateCodec) length(n int) int {
	u := uint64(n)
	if c.uint(&u); c.decoding && u > uint64(len(c.buf)) {
		c.fail("truncated list or text")
		return 0
	}
	return int(u)
}

// serializeList encodes or decodes a list, by a function for its items.
func serializeList[T any](c *stateCodec, list *[]T, serialize func(*T)) {
	n := c.length(len(*list))
	if c.decoding {
		*list = make([]T, 0, min(n, 1024))
	}
	for i := 0; i < n && c.err == nil; i++ {
		if c.decoding {
			var zero T
			*list = append(*list, zero)
		}
		serialize(&(*list)[i])
	}
}

// serializeMap encodes or decodes a map, in the order of its keys.
func serializeMap[T any](c *stateCodec, m *map[string]T, serialize func(*T)) {
	names := slices.Sorted(maps.Keys(*m))
	if c.decoding {
		*m = map[string]T{}
	}
	serializeList(c, &names, func(name *string) {
		c.text(name)
		v := (*m)[*name]
		serialize(&v)
		(*m)[*name] = v
	})
}
