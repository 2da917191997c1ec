package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/operator"
)

// settings is what operators have set, and the file that says so. Only its limits can change while the process runs.
type settings struct {
	file     string // empty: nothing is set
	now      *operator.Config
	platform decide.Settings
	limits   atomic.Pointer[operator.Limits]
}

// loadOperators reads what operators have set, if a file is named.
func loadOperators(file string) (*operator.Config, error) {
	if file == "" {
		return operator.Default(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading -operators: %w", err)
	}
	return operator.Decode(file, text)
}

// apply checks the limits against the platform's settings, and has the module ask for them.
func (s *settings) apply(set *decide.Settings) error {
	s.platform = *set
	if err := s.now.Error(s.now.Against(*set)); err != nil {
		return fmt.Errorf("-operators: %w", err)
	}
	if s.file != "" {
		s.limits.Store(s.now.NewLimits())
		set.Limits = func(class string, dest int) decide.Limits { return s.limits.Load().For(class, dest) }
	}
	return nil
}

// intake is what the engine asks for; nil if nothing is set.
func (s *settings) intake() func(class string, dest int) engine.Limits {
	if s.file == "" {
		return nil
	}
	return func(class string, dest int) engine.Limits { return s.limits.Load().Intake(class, dest) }
}

// reload takes what the file sets now, whole or not at all. Messages that are held keep the limits they were taken on
// with.
func (s *settings) reload() {
	if s.file == "" {
		return
	}
	set, err := loadOperators(s.file)
	if err == nil {
		err = set.Error(set.Against(s.platform))
	}
	if err == nil && set.Journal != s.now.Journal {
		err = errors.New("the journal's settings can't change while it is in use: restart, or set them as they were")
	}
	if err != nil {
		slog.Error("the operators' file is not taken; what was set stays", "err", err)
		return
	}
	for _, c := range operator.Diff(s.now, set) {
		slog.Info("set by operators", "for", c.For, "key", c.Key, "old", c.Old, "new", c.New, "where", c.To)
	}
	s.limits.Store(set.NewLimits())
	s.now = set
}
