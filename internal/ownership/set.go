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

// Set is an immutable set of numbers, of partitions or of destinations. The zero value is the empty set.
type Set struct {
	numbers []uint32 // ascending, no duplicates
}

// NewSet creates a set from numbers in any order; duplicates count once.
func NewSet(numbers ...uint32) Set {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	return Set{numbers: slices.Compact(sorted)}
}

// Len returns how many numbers the set has.
func (s Set) Len() int { return len(s.numbers) }

// Contains reports whether a number is in the set.
func (s Set) Contains(number uint32) bool {
	_, found := slices.BinarySearch(s.numbers, number)
	return found
}

// All returns the numbers in ascending order.
func (s Set) All() iter.Seq[uint32] { return slices.Values(s.numbers) }

// Equal reports whether two sets contain the same numbers.
func (s Set) Equal(other Set) bool { return slices.Equal(s.numbers, other.numbers) }

// Union returns the numbers that are in at least one of the two sets.
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

// Split returns the set of the count smallest numbers, and the set of the others.
func (s Set) Split(count int) (first, rest Set) {
	count = min(count, len(s.numbers))
	return Set{numbers: s.numbers[:count:count]}, Set{numbers: s.numbers[count:]}
}

// Difference returns the numbers of s that are not in other.
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

// String encodes the set as text: the first number and then the differences between neighbours as unsigned varints, in base64url without padding. Each set has
// exactly one encoding; that of the empty set is the empty string.
func (s Set) String() string {
	packed := make([]byte, 0, 2*len(s.numbers))
	var last uint32
	for _, number := range s.numbers {
		packed = binary.AppendUvarint(packed, uint64(number-last))
		last = number
	}
	return base64.RawURLEncoding.EncodeToString(packed)
}

// ParseSet decodes the text form of a set. The set may have up to maxLen numbers, each below limit. ParseSet returns an error for a text that String would not
// produce.
func ParseSet(text string, maxLen int, limit uint64) (Set, error) {
	if maxBytes := int64(maxLen) * binary.MaxVarintLen32; int64(base64.RawURLEncoding.DecodedLen(len(text))) > maxBytes {
		return Set{}, fmt.Errorf("a set of %d characters: at most %d numbers are read", len(text), maxLen)
	}
	if position := strings.IndexAny(text, "\r\n"); position >= 0 { // the decoder would ignore line breaks
		return Set{}, fmt.Errorf("byte %d of a set is a line break", position)
	}
	packed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Set{}, fmt.Errorf("a set is written in base64url without padding: %w", err)
	}
	limit = min(limit, math.MaxUint32+1)
	numbers := make([]uint32, 0, min(len(packed), maxLen))
	var last uint64
	for rest := packed; len(rest) > 0; {
		difference, size, err := canonicalUvarint(rest)
		if err != nil {
			return Set{}, fmt.Errorf("byte %d of a set: %w", len(packed)-len(rest), err)
		}
		if difference == 0 && len(numbers) > 0 {
			return Set{}, fmt.Errorf("byte %d of a set: number %d occurs twice", len(packed)-len(rest), last)
		}
		if difference >= limit || last+difference >= limit {
			return Set{}, fmt.Errorf("byte %d of a set: a number beyond %d", len(packed)-len(rest), limit-1)
		}
		if len(numbers) == maxLen {
			return Set{}, fmt.Errorf("a set of more than %d numbers", maxLen)
		}
		last += difference
		numbers, rest = append(numbers, uint32(last)), rest[size:]
	}
	return Set{numbers: numbers}, nil
}

// canonicalUvarint decodes a number that binary.AppendUvarint has encoded. A longer encoding of the same number is an error.
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

// Digest returns the identifier of a scope: the hash of the number of partitions, a colon and the set's text, as 16 hexadecimal digits.
func (l Layout) Digest(s Set) string { return Digest(l.Partitions, s.String()) }

// Digest returns the identifier of the scope that a set's text describes, as Layout.Digest does.
func Digest(partitions int, text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d:%s", partitions, text)))
}
