package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"text/tabwriter"

	"scaleroute/internal/door"
	"scaleroute/internal/operations"
)

// doorCommands are the calls at a forwarder's door for operators.
type doorCommands struct {
	Ready readyCommand   `cmd:"" help:"Whether the process is ready to serve; exit 1 if not."`
	Stats figuresCommand `cmd:"" help:"Its figures."`
	Maint maintCommand   `cmd:"" help:"Leave targets out until they are put back."`
	Back  backCommand    `cmd:"" help:"Put targets back."`
	Drain drainCommand   `cmd:"" help:"Send clients away until they are taken again."`
	Take  takeCommand    `cmd:"" help:"Take clients again."`
}

type atDoor struct {
	At string `required:"" env:"NODE_OPS" placeholder:"HOST:PORT" help:"The operators' address of the forwarder ('ops' in its configuration)."`
}

type (
	readyCommand   struct{ atDoor }
	figuresCommand struct {
		atDoor
		JSON bool `help:"As the forwarder tells them."`
	}
	maintCommand struct {
		atDoor
		Targets []string `arg:"" help:"Their names in discovery's list."`
	}
	backCommand struct {
		atDoor
		Targets []string `arg:"" help:"Their names in discovery's list."`
	}
	drainCommand struct{ atDoor }
	takeCommand  struct{ atDoor }
)

func (d atDoor) client() (*door.Client, error) {
	if _, _, err := net.SplitHostPort(d.At); err != nil {
		return nil, fmt.Errorf("--at %s: an address and a port, as 10.0.0.4:19000 (%w)", d.At, err)
	}
	return door.NewClient(d.At), nil
}

func (d atDoor) call(method, path string) (string, error) {
	c, err := d.client()
	if err != nil {
		return "", err
	}
	text, err := c.Call(context.Background(), method, path)
	if err != nil && !errors.Is(err, door.ErrRejected) {
		err = fmt.Errorf("no answer from the operators' door: is 'ops' or NODE_OPS set there? (%w)", err)
	}
	return text, err
}

func (c *readyCommand) Run(out io.Writer) error {
	_, err := c.call("GET", "/healthcheck")
	if errors.Is(err, door.ErrRejected) {
		fmt.Fprintln(out, err)
		return errFound
	}
	if err == nil {
		fmt.Fprintln(out, "ready")
	}
	return err
}

func (c *figuresCommand) Run(out io.Writer) error {
	text, err := c.call("GET", "/stats")
	if err != nil || c.JSON {
		fmt.Fprintln(out, text)
		return err
	}
	var s operations.Stats
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return fmt.Errorf("figures that can't be read: is %s a forwarder's door? (%w)", c.At, err)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tfulfilled\tthrottled\tfaulted\t")
	for _, class := range slices.Sorted(maps.Keys(s.Fulfilled)) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t\n", class, s.Fulfilled[class], s.Throttled[class], s.Faulted[class])
	}
	t.Flush()
	fmt.Fprintf(out, "%d open, %d written to targets, %d targets listed, %d of them out of rotation\n", s.OpenRequests, s.Relayed, s.Registry, s.OutOfRotation)
	return nil
}

// each makes a call about each target; one that is refused keeps none of the others back.
func (d atDoor) each(targets []string, do func(*door.Client, string) error, done string, out io.Writer) error {
	c, err := d.client()
	if err != nil {
		return err
	}
	var errs []error
	for _, id := range targets {
		if err := do(c, id); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", id, err))
			continue
		}
		fmt.Fprintln(out, id, done)
	}
	return errors.Join(errs...)
}

func (c *maintCommand) Run(out io.Writer) error {
	return c.each(c.Targets, (*door.Client).DisableEndpoint, "left out", out)
}
func (c *backCommand) Run(out io.Writer) error {
	return c.each(c.Targets, (*door.Client).EnableEndpoint, "put back", out)
}

func (c *drainCommand) Run(out io.Writer) error {
	_, err := c.call("PUT", "/healthcheck/fail")
	if err == nil {
		fmt.Fprintln(out, "clients are sent away; 'door take' takes them again")
	}
	return err
}

func (c *takeCommand) Run(out io.Writer) error {
	_, err := c.call("PUT", "/healthcheck/ok")
	if err == nil {
		fmt.Fprintln(out, "clients are taken")
	}
	return err
}
