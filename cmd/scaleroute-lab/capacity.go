package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"scaleroute/internal/capacity"
)

// capacityCommands work out what the operators' plan costs (docs/CAPACITY.md).
type capacityCommands struct {
	Show    capacityShow    `cmd:"" default:"withargs" help:"Print the tables of the plan's size, and hold a page against them (without a command: this)."`
	Measure capacityMeasure `cmd:"" help:"Measure what the capacity model is fed with."`
}

// capacityShow prints the model's tables, or puts them into a page.
type capacityShow struct {
	Plan     string `default:"experiments/capacity/plan.hcl" type:"path" help:"The operators' plan."`
	Measured string `default:"experiments/capacity/measured" type:"path" help:"The folder of measured series."`
	Page     string `type:"path" help:"A page with the tables between markers: exit 1 if it differs from what is worked out."`
	Write    bool   `help:"Put the tables into the page in place of that."`
}

// Run works the tables out.
func (c *capacityShow) Run(out io.Writer) error {
	if c.Write && c.Page == "" {
		return errors.New("--write: name the page by --page")
	}
	model, err := capacity.Load(c.Plan, c.Measured)
	if err != nil {
		return err
	}
	if c.Page == "" {
		_, err = io.WriteString(out, model.Text())
		return err
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	filled, err := capacity.FillPage(string(page), model.Sections())
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", c.Page, err)
	case filled == string(page):
		return nil
	case c.Write:
		return os.WriteFile(c.Page, []byte(filled), 0o644)
	}
	fmt.Fprintf(out, "%s is not what plan and series come to: run this with --write\n", c.Page)
	return errBroken
}
