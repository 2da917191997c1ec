package ownership

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Set is a set of numbers, of partitions or of destinations. Its zero value is empty; a set does not change.
type Set struct {
	numbers []uint32 // ascending, each once
}

// NewSet makes a set of numbers in any order.
func NewSet(numbers ...uint32) Set {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	return Set{numbers: slices.Compact(sorted)}
}

// Len is how many numbers there are.
func (s Set) Len() int { return len(s.numbers) }

// Contains reports whether a number is in the set.
func (s Set) Contains(number uint32) bool {
	_, found := slices.BinarySearch(s.numbers, number)
	return found
}

// All are the numbers, ascending.
func (s Set) All() iter.Seq[uint32] { return slices.Values(s.numbers) }

// Equal reports whether two sets have the same numbers.
func (s Set) Equal(other Set) bool { return slices.Equal(s.numbers, other.numbers) }

// Union is the set of the numbers that are in one of the two.
func (s Set) Union(other Set) Set {
	merged := make([]uint32, 0, len(s.numbers)+len(other.numbers))
	a, b := s.numbers, other.numbers
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] < b[0]:
			merged, a = append(merged, a[0]), a[1:]
		case a[0] > b[0]:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged, a, b = append(merged, a[0]), a[1:], b[1:]
		}
	}
	merged = append(merged, a...)
	return Set{numbers: append(merged, b...)}
}

// Split is the set of the first count numbers, and that of the others.
func (s Set) Split(count int) (first, rest Set) {
	count = min(count, len(s.numbers))
	return Set{numbers: s.numbers[:count:count]}, Set{numbers: s.numbers[count:]}
}

// Difference is the set of the numbers that are not in the other.
func (s Set) Difference(other Set) Set {
	var rest []uint32
	b := other.numbers
	for _, number := range s.numbers {
		for len(b) > 0 && b[0] < number {
			b = b[1:]
		}
		if len(b) == 0 || b[0] != number {
			rest = append(rest, number)
		}
	}
	return Set{numbers: rest}
}

// String is the set's text: the first number and then the differences as unsigned varints, in base64url without padding. A set has exactly
// one text; that of the empty set is empty.
func (s Set) String() string {
	packed := make([]byte, 0, 2*len(s.numbers))
	var last uint32
	for _, number := range s.numbers {
		packed = binary.AppendUvarint(packed, uint64(number-last))
		last = number
	}
	return base64.RawURLEncoding.EncodeToString(packed)
}

// ParseSet reads a set's text. It may have so many numbers at most, each below the limit; a text that String would not write is refused.
func ParseSet(text string, maxLen int, limit uint64) (Set, error) {
	if most := int64(maxLen) * binary.MaxVarintLen32; int64(base64.RawURLEncoding.DecodedLen(len(text))) > most {
		return Set{}, fmt.Errorf("a set of %d characters: at most %d numbers are read", len(text), maxLen)
	}
	if at := strings.IndexAny(text, "\r\n"); at >= 0 { // which the decoder would skip
		return Set{}, fmt.Errorf("byte %d of a set is a line break", at)
	}
	packed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Set{}, fmt.Errorf("a set is written in base64url without padding: %w", err)
	}
	limit = min(limit, math.MaxUint32+1)
	numbers := make([]uint32, 0, min(len(packed), maxLen))
	var last uint64
	for rest := packed; len(rest) > 0; {
		step, size, err := canonicalUvarint(rest)
		if err != nil {
			return Set{}, fmt.Errorf("byte %d of a set: %w", len(packed)-len(rest), err)
		}
		if step == 0 && len(numbers) > 0 {
			return Set{}, fmt.Errorf("byte %d of a set: number %d occurs twice", len(packed)-len(rest), last)
		}
		if step >= limit || last+step >= limit {
			return Set{}, fmt.Errorf("byte %d of a set: a number beyond %d", len(packed)-len(rest), limit-1)
		}
		if len(numbers) == maxLen {
			return Set{}, fmt.Errorf("a set of more than %d numbers", maxLen)
		}
		last += step
		numbers, rest = append(numbers, uint32(last)), rest[size:]
	}
	return Set{numbers: numbers}, nil
}

// canonicalUvarint reads a number as binary.AppendUvarint writes it: a longer form of the same number is refused.
func canonicalUvarint(from []byte) (number uint64, size int, err error) {
	number, size = binary.Uvarint(from)
	switch {
	case size == 0:
		return 0, 0, errors.New("the number is cut off")
	case size < 0:
		return 0, 0, errors.New("the number is too large")
	case size > 1 && from[size-1] == 0:
		return 0, 0, errors.New("the number is longer than it need be")
	}
	return number, size, nil
}

// Digest names a scope: 16 hexadecimal digits of the hash of the number of partitions, a colon, and the set's text.
func (l Layout) Digest(s Set) string { return Digest(l.Partitions, s.String()) }

// Digest is the digest of a set's text.
func Digest(partitions int, text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d:%s", partitions, text)))
}
