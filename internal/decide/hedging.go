package decide

// sendHedges sends hedged requests: for idempotent messages whose first attempt has been in flight for the
// operator's hedge delay, to another endpoint, within the retry budget, while half of the slots are free.
func (f *Forwarder) sendHedges() {
	for f.hedges.len() > 0 && !f.waitUntil(f.hedges.min().hedgeAt) {
		m := f.hedges.pop()
		r := m.latest.call.route
		if r.circuitOpen || 2*f.inFlight.size >= f.settings.Slots ||
			f.routeEligibleAt(r) > f.now || !f.suspectSlotFree(r.suspicionBound()) {
			continue
		}
		m.hedging = true
		if ep := f.chooseEndpoint(m, []*route{r}); ep != nil && !ep.backup && ep.avoidUntil <= f.now {
			f.sendMessage(m, f.startCall(ep))
		}
		m.hedging = false
	}
}
