package capacity

import "maps"

// scaleChanges brings the rows of series that were measured under more changes than the plan has down to the plan's rate: a change costs what the busy run cost beyond the calm one of the
// same sizes. Without a calm one the row is held against no allowance.
func (m *Model) scaleChanges() {
	planRate, _ := m.Plan.Size(ChangesPerSecond)
	for _, row := range m.Rows {
		if row.Series == nil || row.Series.Held[ChangesPerSecond] <= planRate {
			continue
		}
		calm := m.calmOf(row)
		if calm == nil {
			row.Allowed, row.EndsAt = 0, 0
			continue
		}
		share := planRate / row.Series.Held[ChangesPerSecond]
		row.Cost = calm.Cost + max(0, row.Cost-calm.Cost)*share
		row.Highest = max(row.Cost, calm.Highest+max(0, row.Highest-calm.Highest)*share)
		row.EndsAt = 0 // of both together it is not worked out
		row.scaled = true
	}
}

// calmOf is the row of the same cost at the same sizes without changes.
func (m *Model) calmOf(busy *Row) *Row {
	sizes := maps.Clone(busy.Series.Held)
	delete(sizes, ChangesPerSecond)
	for _, row := range m.Rows {
		s := row.Series
		if s != nil && s != busy.Series && sameCost(s, busy.Series) && s.Process == busy.Series.Process && maps.Equal(s.Held, sizes) {
			return row
		}
	}
	return nil
}
