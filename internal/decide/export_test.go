package decide

import (
	"fmt"
	"reflect"
)

// Orphans tells whether a call is out that had a message which is over or has its outcome: that one is not handed over.
func (f *Forwarder) Orphans() bool {
	for c := f.calls.first; c != nil; c = c.next {
		for _, a := range c.parts {
			if a.m.over || !a.isOut() {
				return true
			}
		}
	}
	return false
}

// Differences lists in which fields two memories differ, by the names of what they are of.
func (m *Memory) Differences(o *Memory) (list []string) {
	var compare func(what string, x, y reflect.Value)
	diff := func(what string, a, b any) { compare(what, reflect.ValueOf(a), reflect.ValueOf(b)) }
	compare = func(what string, x, y reflect.Value) {
		for i := range x.NumField() {
			if x.Type().Field(i).Anonymous {
				compare(what, x.Field(i), y.Field(i))
			} else if v, w := fmt.Sprint(x.Field(i)), fmt.Sprint(y.Field(i)); v != w {
				list = append(list, fmt.Sprint(what, " ", x.Type().Field(i).Name, ": ", v, " and ", w))
			}
		}
	}
	if len(m.dests) != len(o.dests) || len(m.targets) != len(o.targets) || len(m.calls) != len(o.calls) || len(m.messages) != len(o.messages) {
		return []string{fmt.Sprint(len(m.dests), len(m.targets), len(m.calls), len(m.messages), " and ", len(o.dests), len(o.targets), len(o.calls), len(o.messages))}
	}
	for i, d := range m.dests {
		e := o.dests[i]
		name := fmt.Sprint("destination ", d.id)
		if d.id != e.id || len(d.routes) != len(e.routes) {
			return append(list, fmt.Sprint(name, " and ", e.id, " with ", len(d.routes), " and ", len(e.routes), " routes"))
		}
		for j := range d.routes {
			diff(name+" route "+d.routes[j].name, d.routes[j], e.routes[j])
		}
		d.routes, e.routes = nil, nil
		diff(name, d, e)
	}
	for i := range m.targets {
		diff("target "+m.targets[i].listed.ID, m.targets[i], o.targets[i])
	}
	for i := range m.calls {
		diff("call to "+m.calls[i].target, m.calls[i], o.calls[i])
	}
	for id, k := range m.messages {
		diff("message "+id, *k, *o.messages[id])
	}
	if m.chance != o.chance {
		list = append(list, "chance")
	}
	if a, b := fmt.Sprint(m.lines, m.longer, m.tenants, m.idleLoss, m.longLoss, m.usual, m.begun), fmt.Sprint(o.lines, o.longer, o.tenants, o.idleLoss, o.longLoss, o.usual, o.begun); a != b {
		list = append(list, a+" and "+b)
	}
	return list
}
