package door

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"scaleroute/internal/membership"
)

// answerTime is how long a call waits for its answer: less than the second that whoever called here waits.
const answerTime = 900 * time.Millisecond

// ErrRejected is a forwarder's no.
var ErrRejected = errors.New("the forwarder says no")

// Client calls another process's door.
type Client struct {
	at   string
	http http.Client
}

// NewClient makes a Client for a door at an address.
func NewClient(address string) *Client {
	return &Client{address, http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// NewClientWithTimeout is To for a caller that waits for so long.
func NewClientWithTimeout(address string, limit time.Duration) *Client {
	c := NewClient(address)
	c.http.Timeout = limit
	return c
}

// Put makes one call with a body.
func (c *Client) Put(ctx context.Context, path string, body []byte) (string, error) {
	return c.call(ctx, http.MethodPut, path, bytes.NewReader(body))
}

// Call makes one call, and returns what was answered. A no is an ErrNo with its reason.
func (c *Client) Call(ctx context.Context, method, path string) (string, error) {
	return c.call(ctx, method, path, nil)
}

func (c *Client) call(ctx context.Context, method, path string, with io.Reader) (string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.at+path, with)
	if err != nil {
		return "", err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	text := strings.TrimSpace(string(body))
	switch {
	case err != nil:
		return "", err
	case resp.StatusCode == http.StatusNotFound && text == membership.ErrNeverListed.Error():
		return "", fmt.Errorf("%w: %w", ErrRejected, membership.ErrNeverListed)
	case resp.StatusCode/100 != 2:
		return "", fmt.Errorf("%w: %s (%d)", ErrRejected, text, resp.StatusCode)
	}
	return text, nil
}

func (c *Client) put(ctx context.Context, path string) error {
	_, err := c.Call(ctx, http.MethodPut, path)
	return err
}

// DisableEndpoint leaves a target out.
func (c *Client) DisableEndpoint(target string) error {
	return c.put(context.Background(), "/targets/"+url.PathEscape(target)+"/maint")
}

// EnableEndpoint puts it back.
func (c *Client) EnableEndpoint(target string) error {
	return c.put(context.Background(), "/targets/"+url.PathEscape(target)+"/ready")
}

// DrainClients sends clients away.
func (c *Client) DrainClients(ctx context.Context) error { return c.put(ctx, "/healthcheck/fail") }

// ResumeClients takes them again.
func (c *Client) ResumeClients(ctx context.Context) error { return c.put(ctx, "/healthcheck/ok") }
