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

// adminCommands are the commands that call a forwarder's admin API.
type adminCommands struct {
	Ready readyCommand `cmd:"" help:"Show whether the process is ready to serve; exit 1 if not."`
	Stats statsCommand `cmd:"" help:"Show its statistics."`
	Maint maintCommand `cmd:"" help:"Disable endpoints until they are re-enabled."`
	Back  backCommand  `cmd:"" help:"Re-enable endpoints."`
	Drain drainCommand `cmd:"" help:"Drain clients, until 'door take' accepts them again."`
	Take  takeCommand  `cmd:"" help:"Accept clients again after a drain."`
}

type adminAPI struct {
	At string `required:"" env:"NODE_OPS" placeholder:"HOST:PORT" help:"Address of the forwarder's admin API ('ops' in its configuration)."`
}

type (
	readyCommand struct{ adminAPI }
	statsCommand struct {
		adminAPI
		JSON bool `help:"Print the statistics as the forwarder's JSON."`
	}
	maintCommand struct {
		adminAPI
		Targets []string `arg:"" help:"Names of the endpoints in discovery's list."`
	}
	backCommand struct {
		adminAPI
		Targets []string `arg:"" help:"Names of the endpoints in discovery's list."`
	}
	drainCommand struct{ adminAPI }
	takeCommand  struct{ adminAPI }
)

func (d adminAPI) client() (*door.Client, error) {
	if _, _, err := net.SplitHostPort(d.At); err != nil {
		return nil, fmt.Errorf("--at %s is not an address and a port, such as 10.0.0.4:19000 (%w)", d.At, err)
	}
	return door.NewClient(d.At), nil
}

func (d adminAPI) call(method, path string) (string, error) {
	c, err := d.client()
	if err != nil {
		return "", err
	}
	text, err := c.Call(context.Background(), method, path)
	if err != nil && !errors.Is(err, door.ErrRejected) {
		err = fmt.Errorf("no answer from the admin API: is 'ops' or NODE_OPS set for that forwarder? (%w)", err)
	}
	return text, err
}

func (c *readyCommand) Run(out io.Writer) error {
	_, err := c.call("GET", "/healthcheck")
	if errors.Is(err, door.ErrRejected) {
		fmt.Fprintln(out, err)
		return errFindings
	}
	if err == nil {
		fmt.Fprintln(out, "ready")
	}
	return err
}

func (c *statsCommand) Run(out io.Writer) error {
	text, err := c.call("GET", "/stats")
	if err != nil || c.JSON {
		fmt.Fprintln(out, text)
		return err
	}
	var s operations.Stats
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return fmt.Errorf("invalid statistics: is %s the admin API of a forwarder? (%w)", c.At, err)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tfulfilled\tthrottled\tfaulted\t")
	for _, class := range slices.Sorted(maps.Keys(s.Fulfilled)) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t\n", class, s.Fulfilled[class], s.Throttled[class], s.Faulted[class])
	}
	t.Flush()
	fmt.Fprintf(out, "%d open, %d written to endpoints, %d endpoints listed, %d of them out of rotation\n", s.OpenRequests, s.Relayed, s.Registry, s.OutOfRotation)
	return nil
}

// forEachTarget makes one call for each endpoint. If a call fails, the calls for the other endpoints are still made.
func (d adminAPI) forEachTarget(targets []string, do func(*door.Client, string) error, done string, out io.Writer) error {
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
	return c.forEachTarget(c.Targets, (*door.Client).DisableEndpoint, "disabled", out)
}
func (c *backCommand) Run(out io.Writer) error {
	return c.forEachTarget(c.Targets, (*door.Client).EnableEndpoint, "re-enabled", out)
}

func (c *drainCommand) Run(out io.Writer) error {
	_, err := c.call("PUT", "/healthcheck/fail")
	if err == nil {
		fmt.Fprintln(out, "clients are being drained; 'door take' accepts them again")
	}
	return err
}

func (c *takeCommand) Run(out io.Writer) error {
	_, err := c.call("PUT", "/healthcheck/ok")
	if err == nil {
		fmt.Fprintln(out, "clients are accepted")
	}
	return err
}
