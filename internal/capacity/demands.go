package capacity

// demand is a cost that the page must show, measured or not.
type demand struct {
	mechanism Mechanism
	role      Role
	resource  Resource
	event     Event
	why       string // it is not measured
}

const (
	notYet     = "its run is not kept here yet"
	notOurs    = "a program of the platform's"
	notWatched = "no measurement of it is built"
)

// demands are in the order of the page.
var demands = []demand{
	{WholeList, Forwarder, State, Calm, notYet},
	{PartialList, Forwarder, State, Calm, notYet},
	{WholeList, Forwarder, Messages, Calm, notYet},
	{PartialList, Forwarder, Messages, Calm, notYet},
	{WholeList, Forwarder, Processor, Calm, notYet},
	{PartialList, Forwarder, Processor, Calm, notYet},
	{Gossip, Forwarder, State, Calm, notYet},
	{Gossip, Forwarder, Messages, Calm, "the gossip process speaks for it; what the two tell each other is not counted"},
	{Gossip, Forwarder, Processor, Calm, notYet},
	{Gossip, Forwarder, Kept, Calm, notYet},
	{Queue, Forwarder, State, Calm, notYet},

	{Gossip, GossipProcess, State, Calm, notYet},
	{Gossip, GossipProcess, Messages, Calm, notYet},
	{Gossip, GossipProcess, Processor, Calm, notYet},

	{WholeList, Agent, State, Calm, notOurs},
	{WholeList, Agent, Messages, Calm, notOurs},
	{WholeList, Agent, Processor, Calm, notOurs},

	{PartialList, ControlServer, State, Calm, notYet},
	{PartialList, ControlServer, Messages, Calm, notYet},
	{PartialList, ControlServer, Processor, Calm, notYet},

	{Gossip, OperatorsTool, State, Calm, notYet},
	{Gossip, OperatorsTool, Work, Calm, notYet},
	{PartialList, OperatorsTool, State, Calm, notWatched},

	{WholeList, Target, State, Calm, notOurs},
	{WholeList, Target, Messages, Calm, notWatched},
	{WholeList, Target, Processor, Calm, notOurs},
	{WholeList, ClientSide, State, Calm, notOurs},
	{WholeList, ClientSide, Messages, Calm, notWatched},
	{WholeList, ClientSide, Processor, Calm, notOurs},

	{WholeList, Forwarder, Work, Start, notYet},
	{WholeList, Agent, Transfer, Start, notYet},
	{PartialList, Forwarder, Work, Start, notYet},
	{PartialList, Forwarder, Transfer, Start, notYet},
	{PartialList, Forwarder, Delay, Start, notYet},
	{PartialList, ControlServer, Work, Start, notYet},
	{PartialList, ControlServer, Work, Zone, notYet},
	{PartialList, Forwarder, Delay, Zone, notYet},
	{PartialList, Forwarder, Transfer, Machine, notYet},
	{PartialList, Forwarder, Moved, Machine, notYet},
	{PartialList, Forwarder, Evenness, Calm, notYet},
	{PartialList, Forwarder, Delay, RegionCut, notYet},
	{PartialList, Forwarder, Transfer, RegionCut, notYet},

	{WholeList, Forwarder, Delay, OneChange, notYet},
	{PartialList, Forwarder, Delay, OneChange, notYet},
	{PartialList, ControlServer, Delay, OneChange, notYet},
	{WholeList, Forwarder, Delay, EveryEntry, notYet},
	{WholeList, Forwarder, Work, EveryEntry, notYet},
	{WholeList, Forwarder, Transfer, EveryEntry, notYet},
	{WholeList, Forwarder, State, EveryEntry, notYet},
	{PartialList, Forwarder, Delay, EveryEntry, notYet},
	{PartialList, Forwarder, Transfer, EveryEntry, notYet},
	{PartialList, ControlServer, Work, EveryEntry, notYet},

	{PartialList, Forwarder, Transfer, Lookup, notYet},
	{PartialList, Forwarder, Delay, Lookup, notYet},
}

func (d *demand) wants(s *Series) bool {
	return s.Mechanism == d.mechanism && s.Role == d.role && s.Resource == d.resource && s.Event == d.event
}

func (d *demand) missing() *Row {
	return &Row{Mechanism: d.mechanism, Role: d.role, Resource: d.resource, Event: d.event, Standing: NotMeasured, Why: d.why}
}

// ofProcess tells whether it is a cost of a whole process, which a package by itself does not answer.
func (d *demand) ofProcess() bool {
	return d.event == Calm && (d.resource == State || d.resource == Messages || d.resource == Processor)
}
