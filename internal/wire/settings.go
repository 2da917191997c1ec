package wire

import (
	"fmt"
	"strconv"
	"strings"

	"scaleroute/internal/decide"
)

// ParseSettings reads settings from path=value pairs as a PROVISION line holds them,
// InitSeed among them. The error names the first field at fault.
func ParseSettings(pairs map[string]string) (decide.Settings, error) {
	f := &fields{pairs: pairs}
	s := settings(f)
	return s, f.err
}

// settings turns the pairs of a PROVISION line into settings. Keys that it does
// not know are passed over.
func settings(f *fields) decide.Settings {
	s := decide.Settings{
		Zone: f.text("Locality", false), CrossZonePrice: f.number("Costs.CrossZone", false),
		ConnectPrice: f.number("Costs.Handshake", false),
		Forwarders:   f.integer("Siblings", false), OverQuotaValue: f.number("OverShareWorth", false),
		Slots: f.integer("FamilyInfo.Workers", false), MaxOpen: f.integer("Limits.MaxOpen", false),
		MaxAttempts: f.integer("Limits.MaxAttempts", false), Hedging: f.boolean("Limits.SecondCopies"),
		MayProbe: f.boolean("Limits.MayProbe"), MayCancel: f.boolean("Limits.Cancel"),
		ResubscribeInterval: f.duration("Invariants.AskEvery", false),
		ConnIdle:            f.duration("Limits.ConnIdle", false), ConnectTimeout: f.duration("Limits.ConnectTimeout", false),
		AnswerSlack: f.duration("Invariants.AnswerSlack", false), DrainGrace: f.duration("Invariants.DrainGrace", false),
		KeyPause: f.duration("Invariants.KeyRest", false), SlowStart: f.duration("Invariants.Cold", false),
		StartCapacity:  f.number("Invariants.StartCapacity", false),
		OverloadFactor: f.number("Invariants.TipMultiple", false), OverloadOutage: f.duration("Invariants.Fall", false),
	}
	if seed, err := strconv.ParseUint(f.text("InitSeed", true), 10, 64); err == nil {
		s.Seed = seed
	} else {
		f.fail("InitSeed", "bad number", f.pairs["InitSeed"])
	}
	if f.boolean("Limits.RetryAfter") {
		s.MaxRetryAfter = f.duration("Limits.MaxRetryAfter", false)
	}
	s.MustSubscribe = choice(f, "Discovery", map[string]bool{"automatic": false, "": false, "subscribe": true})
	s.Decay = choice(f, "FamilyInfo.Late", map[string]decide.Decay{
		"line": decide.Linear, "": decide.Linear, "halves": decide.Exponential})
	s.Weights = choice(f, "Weights", map[string]decide.Weights{
		"": decide.NoWeights, "silent": decide.NoWeights, "live": decide.NoWeights,
		"nominal": decide.ExactWeights, "rough": decide.RoughWeights})
	for i := range count(f, "Classes") {
		p := fmt.Sprintf("Classes.%d.", i)
		s.Classes = append(s.Classes, decide.Class{
			Name: f.text(p+"Name", true),
			Effect: choice(f, p+"Effect", map[string]decide.Effect{
				"pure": decide.Idempotent, "token": decide.Deduplicated, "side_effect": decide.AtMostOnce}),
			DedupPerZone: f.text(p+"DedupScope", false) != "all", DedupWindow: f.duration(p+"RepeatWindow", false),
			OnTime: f.duration(p+"OnTime", true), Deadline: f.duration(p+"Deadline", true),
			Value: f.number(p+"Worth", false), LateShare: f.number(p+"LateShare", false),
			Ordered: f.boolean(p + "KeepOrder"),
		})
	}
	apart, perCall := list(f, "FamilyInfo.SeparateRoutes"), list(f, "FamilyInfo.PerCall")
	for i, name := range list(f, "Kinds") {
		k := decide.Kind{Name: name, MaxBatch: 1}
		if i < len(apart) {
			k.SeparateRoutes = apart[i] == "true" || apart[i] == "1"
		}
		if i < len(perCall) {
			n, err := strconv.ParseFloat(perCall[i], 64)
			if err != nil {
				f.fail("FamilyInfo.PerCall", "bad number", perCall[i])
			}
			k.MaxBatch = int(n)
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
