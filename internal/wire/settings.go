package wire

import (
	"fmt"
	"strconv"
	"strings"

	"scaleroute/internal/decide"
)

// ParseSettings converts the path=value pairs of a PROVISION line, which include
// InitSeed, into settings. The error names the first invalid field.
func ParseSettings(pairs map[string]string) (decide.Settings, error) {
	f := &fields{pairs: pairs}
	s := settingsFrom(f)
	return s, f.err
}

// settingsFrom converts the fields of a PROVISION line into settings and ignores
// unknown keys. The first invalid field is kept in f.err.
func settingsFrom(f *fields) decide.Settings {
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
	s.MustSubscribe = enumValue(f, "Discovery", map[string]bool{"automatic": false, "": false, "subscribe": true})
	s.Decay = enumValue(f, "FamilyInfo.Late", map[string]decide.Decay{
		"line": decide.Linear, "": decide.Linear, "halves": decide.Exponential})
	s.Weights = enumValue(f, "Weights", map[string]decide.Weights{
		"": decide.NoWeights, "silent": decide.NoWeights, "live": decide.NoWeights,
		"nominal": decide.ExactWeights, "rough": decide.RoughWeights})
	for i := range objectCount(f, "Classes") {
		p := fmt.Sprintf("Classes.%d.", i)
		s.Classes = append(s.Classes, decide.Class{
			Name: f.text(p+"Name", true),
			Effect: enumValue(f, p+"Effect", map[string]decide.Effect{
				"pure": decide.Idempotent, "token": decide.Deduplicated, "side_effect": decide.AtMostOnce}),
			DedupPerZone: f.text(p+"DedupScope", false) != "all", DedupWindow: f.duration(p+"RepeatWindow", false),
			OnTime: f.duration(p+"OnTime", true), Deadline: f.duration(p+"Deadline", true),
			Value: f.number(p+"Worth", false), LateShare: f.number(p+"LateShare", false),
			Ordered: f.boolean(p + "KeepOrder"),
		})
	}
	separateRoutes, perCall := splitList(f, "FamilyInfo.SeparateRoutes"), splitList(f, "FamilyInfo.PerCall")
	for i, name := range splitList(f, "Kinds") {
		k := decide.Kind{Name: name, MaxBatch: 1}
		if i < len(separateRoutes) {
			k.SeparateRoutes = separateRoutes[i] == "true" || separateRoutes[i] == "1"
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
	zoneFees := splitList(f, "FamilyInfo.Carriage")
	s.ZoneFee = map[string]float64{}
	for i, zone := range splitList(f, "Azs") {
		if i >= len(zoneFees) {
			break
		}
		fee, err := strconv.ParseFloat(zoneFees[i], 64)
		if err != nil {
			f.fail("FamilyInfo.Carriage", "bad number", zoneFees[i])
		}
		s.ZoneFee[zone] = fee
	}
	for i := range objectCount(f, "Tenants") {
		p := fmt.Sprintf("Tenants.%d.", i)
		s.Tenants = append(s.Tenants, decide.Tenant{
			Name: f.text(p+"Name", true), Quota: f.number(p+"QuotaPerS", false)})
	}
	return s
}

// objectCount returns the length of a list of objects, which the line gives as
// NAME.count. A length that exceeds the number of pairs is invalid.
func objectCount(f *fields, name string) int {
	n := f.integer(name+".count", false)
	if n < 0 || n > len(f.pairs) {
		f.fail(name+".count", "invalid length", f.pairs[name+".count"])
		return 0
	}
	return n
}

// splitList splits a comma-separated list of plain values. An absent list and "-"
// are empty.
func splitList(f *fields, name string) []string {
	s := f.pairs[name]
	if s == "" || s == "-" {
		return nil
	}
	return strings.Split(s, ",")
}

// enumValue looks up a field's text in the table of known values.
func enumValue[T any](f *fields, name string, known map[string]T) T {
	s := f.text(name, false)
	v, ok := known[s]
	if !ok {
		f.fail(name, "unknown value", s)
	}
	return v
}
