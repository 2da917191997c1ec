package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// sections are the tables of the page, by the name in their markers.
var sections = []struct {
	name, title string
	write       func(*Model) string
}{
	{"first", "What breaks first", breaksFirst},
	{"sight", "What one of each sees", sight},
	{"beside", "Before and after, beside each other", beside},
	{"calm", "Calm", calm},
	{"events", "Beside the calm", eventTable},
	{"fleet", "What a failure asks of all", fleetEvents},
	{"change", "Where the time of a change goes", hops},
	{"simulated", "Simulated and real", simulated},
	{"next", "Missing next", missingNext},
	{"series", "Series", seriesTable},
}

// Sections are the generated parts of the page.
func (m *Model) Sections() map[string]string {
	texts := map[string]string{}
	for _, s := range sections {
		texts[s.name] = s.write(m)
	}
	return texts
}

// Text is all tables, for a terminal.
func (m *Model) Text() string {
	var text strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&text, "## %s\n\n%s\n", s.title, s.write(m))
	}
	return text.String()
}

func beginMarker(name string) string { return "<!-- capacity: " + name + " -->" }

const endMarker = "<!-- capacity: end -->"

// FillPage puts the tables between a page's markers, and leaves all else as it is. Each table must have its place.
func FillPage(page string, texts map[string]string) (string, error) {
	var filled strings.Builder
	missing := maps.Clone(texts)
	for number, rest := 0, page; ; number++ {
		head, tail, found := strings.Cut(rest, "<!-- capacity: ")
		filled.WriteString(head)
		if !found {
			break
		}
		name, _, _ := strings.Cut(tail, " -->")
		text, known := missing[name]
		if !known {
			return "", fmt.Errorf("marker %d, %q: there is no such table, or it has its place already: use each of %s once", number+1, name, strings.Join(slices.Sorted(maps.Keys(texts)), ", "))
		}
		_, rest, found = strings.Cut(tail, endMarker)
		if !found {
			return "", fmt.Errorf("marker %q: its end is missing: write %s after it", name, endMarker)
		}
		delete(missing, name)
		filled.WriteString(beginMarker(name) + "\n\n" + strings.TrimSpace(text) + "\n\n" + endMarker)
	}
	if len(missing) > 0 {
		return "", fmt.Errorf("there is no place for %s: write %s and %s where it belongs", strings.Join(slices.Sorted(maps.Keys(missing)), ", "), beginMarker("NAME"), endMarker)
	}
	return filled.String(), nil
}
