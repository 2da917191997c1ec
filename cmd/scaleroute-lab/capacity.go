package main

// capacityCommands work out what the operators' plan costs (docs/CAPACITY.md).
type capacityCommands struct {
	Measure capacityMeasure `cmd:"" help:"Measure what the capacity model is fed with."`
}
