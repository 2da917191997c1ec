package door

import (
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

// ErrNo is a forwarder's no.
var ErrNo = errors.New("the forwarder says no")

// Client calls another process's door.
type Client struct {
	at   string
	http http.Client
}

// To makes a Client for a door at an address.
func To(address string) *Client {
	return &Client{address, http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Call makes one call, and returns what was answered. A no is an ErrNo with its reason.
func (c *Client) Call(ctx context.Context, method, path string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.at+path, nil)
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
		return "", fmt.Errorf("%w: %w", ErrNo, membership.ErrNeverListed)
	case resp.StatusCode/100 != 2:
		return "", fmt.Errorf("%w: %s (%d)", ErrNo, text, resp.StatusCode)
	}
	return text, nil
}

func (c *Client) put(ctx context.Context, path string) error {
	_, err := c.Call(ctx, http.MethodPut, path)
	return err
}

// LeaveOut leaves a target out.
func (c *Client) LeaveOut(target string) error {
	return c.put(context.Background(), "/targets/"+url.PathEscape(target)+"/maint")
}

// PutBack puts it back.
func (c *Client) PutBack(target string) error {
	return c.put(context.Background(), "/targets/"+url.PathEscape(target)+"/ready")
}

// SendAway sends clients away.
func (c *Client) SendAway(ctx context.Context) error { return c.put(ctx, "/healthcheck/fail") }

// TakeAgain takes them again.
func (c *Client) TakeAgain(ctx context.Context) error { return c.put(ctx, "/healthcheck/ok") }
