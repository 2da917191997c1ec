package wire

import (
	"fmt"
	"strconv"
	"strings"

	"scaleroute/internal/decide"
)

// Settings reads settings from path=value pairs as a PROVISION line holds them,
// InitSeed among them. The error names the first field at fault.
func Settings(pairs map[string]string) (decide.Settings, error) {
	f := &fields{pairs: pairs}
	s := settings(f)
	return s, f.err
}

// settings turns the pairs of a PROVISION line into settings. Keys that it does
// not know are passed over.
func settings(f *fields) decide.Settings {
	s := decide.Settings{
		Zone: f.text("Locality", false), CrossPrice: f.number("Costs.CrossZone", false),
		ConnectPrice: f.number("Costs.Handshake", false),
		Forwarders:   f.integer("Siblings", false), OverShareWorth: f.number("OverShareWorth", false),
		Slots: f.integer("FamilyInfo.Workers", false), MaxHeld: f.integer("Limits.MaxOpen", false),
		MaxAttempts: f.integer("Limits.MaxAttempts", false), SecondCopies: f.boolean("Limits.SecondCopies"),
		MayProbe: f.boolean("Limits.MayProbe"), MayCancel: f.boolean("Limits.Cancel"),
		AskEvery: f.duration("Invariants.AskEvery", false),
		ConnIdle: f.duration("Limits.ConnIdle", false), ConnectLimit: f.duration("Limits.ConnectTimeout", false),
		Slack: f.duration("Invariants.AnswerSlack", false), DrainGrace: f.duration("Invariants.DrainGrace", false),
		KeyRest: f.duration("Invariants.KeyRest", false), Cold: f.duration("Invariants.Cold", false),
		StartCapacity: f.number("Invariants.StartCapacity", false),
		TipMultiple:   f.number("Invariants.TipMultiple", false), Fall: f.duration("Invariants.Fall", false),
	}
	if seed, err := strconv.ParseUint(f.text("InitSeed", true), 10, 64); err == nil {
		s.Seed = seed
	} else {
		f.fail("InitSeed", "bad number", f.pairs["InitSeed"])
	}
	if f.boolean("Limits.RetryAfter") {
		s.AdviceLimit = f.duration("Limits.MaxRetryAfter", false)
	}
	s.MustAsk = choice(f, "Discovery", map[string]bool{"automatic": false, "": false, "subscribe": true})
	s.Decay = choice(f, "FamilyInfo.Late", map[string]decide.Decay{
		"line": decide.Line, "": decide.Line, "halves": decide.Halves})
	s.Weights = choice(f, "Weights", map[string]decide.Weights{
		"": decide.NoWeights, "silent": decide.NoWeights, "live": decide.NoWeights,
		"nominal": decide.ExactWeights, "rough": decide.RoughWeights})
	for i := range count(f, "Classes") {
		p := fmt.Sprintf("Classes.%d.", i)
		s.Classes = append(s.Classes, decide.Class{
			Name: f.text(p+"Name", true),
			Effect: choice(f, p+"Effect", map[string]decide.Effect{
				"pure": decide.Pure, "token": decide.Keyed, "side_effect": decide.Unsafe}),
			ZoneGroup: f.text(p+"DedupScope", false) != "all", Window: f.duration(p+"RepeatWindow", false),
			Aim: f.duration(p+"OnTime", true), Deadline: f.duration(p+"Deadline", true),
			Worth: f.number(p+"Worth", false), LateShare: f.number(p+"LateShare", false),
			KeepsOrder: f.boolean(p + "KeepOrder"),
		})
	}
	apart, perCall := list(f, "FamilyInfo.SeparateRoutes"), list(f, "FamilyInfo.PerCall")
	for i, name := range list(f, "Kinds") {
		k := decide.Kind{Name: name, PerCall: 1}
		if i < len(apart) {
			k.Apart = apart[i] == "true" || apart[i] == "1"
		}
		if i < len(perCall) {
			n, err := strconv.ParseFloat(perCall[i], 64)
			if err != nil {
				f.fail("FamilyInfo.PerCall", "bad number", perCall[i])
			}
			k.PerCall = int(n)
		}
		s.Kinds = append(s.Kinds, k)
	}
	fees := list(f, "FamilyInfo.Carriage")
	s.ZoneFee = map[string]float64{}
	for i, zone := range list(f, "Azs") {
		if i >= len(fees) {
			break
		}
		fee, err := strconv.ParseFloat(fees[i], 64)
		if err != nil {
			f.fail("FamilyInfo.Carriage", "bad number", fees[i])
		}
		s.ZoneFee[zone] = fee
	}
	for i := range count(f, "Tenants") {
		p := fmt.Sprintf("Tenants.%d.", i)
		s.Tenants = append(s.Tenants, decide.Tenant{
			Name: f.text(p+"Name", true), Quota: f.number(p+"QuotaPerS", false)})
	}
	return s
}

// count is the length of a list of objects.
func count(f *fields, name string) int {
	n := f.integer(name+".count", false)
	if n < 0 || n > len(f.pairs) {
		f.fail(name+".count", "impossible length", f.pairs[name+".count"])
		return 0
	}
	return n
}

// list splits a list of plain values.
func list(f *fields, name string) []string {
	s := f.pairs[name]
	if s == "" || s == "-" {
		return nil
	}
	return strings.Split(s, ",")
}

func choice[T any](f *fields, name string, known map[string]T) T {
	s := f.text(name, false)
	v, ok := known[s]
	if !ok {
		f.fail(name, "unknown value", s)
	}
	return v
}
