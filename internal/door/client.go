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

// requestTimeout limits one request. It is less than the second that an operator's own request waits when it is passed on through this client.
const requestTimeout = 900 * time.Millisecond

// ErrRejected is returned when the forwarder answers with a status other than 2xx.
// The tests of scaleroutectl match its text.
var ErrRejected = errors.New("the forwarder says no")

// Client calls the admin API of another process.
type Client struct {
	address string
	http    http.Client
}

// NewClient returns a Client for the admin API at an address.
func NewClient(address string) *Client {
	return &Client{address, http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// NewClientWithTimeout is like NewClient, with another limit for each request.
func NewClientWithTimeout(address string, limit time.Duration) *Client {
	c := NewClient(address)
	c.http.Timeout = limit
	return c
}

// Put sends a PUT request with a body and returns the text of the response.
func (c *Client) Put(ctx context.Context, path string, body []byte) (string, error) {
	return c.call(ctx, http.MethodPut, path, bytes.NewReader(body))
}

// Call sends one request without a body and returns the text of the response. A status other than 2xx becomes an ErrRejected with the text as its reason.
func (c *Client) Call(ctx context.Context, method, path string) (string, error) {
	return c.call(ctx, method, path, nil)
}

func (c *Client) call(ctx context.Context, method, path string, content io.Reader) (string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, content)
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

// DisableEndpoint takes an endpoint out of rotation until EnableEndpoint.
func (c *Client) DisableEndpoint(name string) error {
	return c.put(context.Background(), "/targets/"+url.PathEscape(name)+"/maint")
}

// EnableEndpoint ends DisableEndpoint.
func (c *Client) EnableEndpoint(name string) error {
	return c.put(context.Background(), "/targets/"+url.PathEscape(name)+"/ready")
}

// DrainClients has the forwarder drain its clients until ResumeClients.
func (c *Client) DrainClients(ctx context.Context) error { return c.put(ctx, "/healthcheck/fail") }

// ResumeClients ends DrainClients.
func (c *Client) ResumeClients(ctx context.Context) error { return c.put(ctx, "/healthcheck/ok") }
