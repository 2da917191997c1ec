package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/docker/go-units"
)

// amount writes a cost with its unit.
func amount(value float64, resource Resource) string {
	switch resource {
	case State, Transfer:
		return byteCount(value)
	case Messages:
		return byteCount(value) + "/s"
	case Processor:
		return significant(value) + " cores"
	case Work:
		return significant(value) + " CPU s"
	case Delay:
		return significant(value) + " s"
	case Kept:
		return count(value)
	}
	return significant(value) + " times"
}

func byteCount(value float64) string {
	return units.CustomSize("%.3g%s", value, 1000, []string{" B", " KB", " MB", " GB", " TB", " PB"})
}

// count writes a whole number with commas; one that is infinite is none.
func count(value float64) string {
	if math.IsInf(value, 1) {
		return "never"
	}
	if value < 10 && value != math.Trunc(value) {
		return significant(value)
	}
	digits := fmt.Sprintf("%.0f", rounded(value))
	var groups []string
	for len(digits) > 3 {
		groups = append([]string{digits[len(digits)-3:]}, groups...)
		digits = digits[:len(digits)-3]
	}
	return strings.Join(append([]string{digits}, groups...), ",")
}

// rounded has three significant digits from 10,000 on: more are not known of what is worked out.
func rounded(value float64) float64 {
	if value < 10_000 {
		return math.Round(value)
	}
	unit := math.Pow(10, math.Floor(math.Log10(value))-2)
	return math.Round(value/unit) * unit
}

func significant(value float64) string {
	if value >= 1000 {
		return count(value)
	}
	return fmt.Sprintf("%.3g", value)
}

func percent(share float64) string {
	if share >= 10 {
		return count(math.Round(share)) + " times"
	}
	return significant(100*share) + "%"
}
