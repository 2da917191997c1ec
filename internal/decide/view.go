package decide

// Routes tells what is known of each route, for on-call staff.
func (f *Forwarder) Routes() []RouteView {
	var views []RouteView
	for _, d := range f.order {
		for _, r := range d.routes {
			v := RouteView{Route: r.name, Open: r.open, Why: r.why, WaitLeft: max(0, r.told-f.now), Budget: r.ratio,
				Out: len(r.calls), Waiting: len(d.waiting), Amplification: 1}
			if r.allFirst > 0 {
				v.Amplification = float64(r.all) / float64(r.allFirst)
			}
			views = append(views, v)
		}
	}
	return views
}
