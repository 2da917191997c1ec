package engine

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// MailAddress is an endpoint that takes mail, as its Address says it: smtp://10.0.0.7:25/?from=A&to=B.
type MailAddress struct {
	LMTP     bool
	HostPort string // address and port
	From, To string // of the envelope
}

// The schemes of such addresses.
const (
	SMTP = "smtp"
	LMTP = "lmtp"
)

func (m MailAddress) String() string {
	scheme := SMTP
	if m.LMTP {
		scheme = LMTP
	}
	return (&url.URL{Scheme: scheme, Host: m.HostPort, Path: "/", RawQuery: url.Values{"from": {m.From}, "to": {m.To}}.Encode()}).String()
}

// IsMail tells whether an Address is one of those.
func IsMail(address string) bool {
	return strings.HasPrefix(address, SMTP+"://") || strings.HasPrefix(address, LMTP+"://")
}

// ParseMailAddress reads one.
func ParseMailAddress(address string) (m MailAddress, err error) {
	u, err := url.Parse(address)
	if err != nil {
		return m, err
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil || !IsMail(address) {
		return m, fmt.Errorf("%q is no endpoint for mail", address)
	}
	return MailAddress{LMTP: u.Scheme == LMTP, HostPort: u.Host, From: u.Query().Get("from"), To: u.Query().Get("to")}, nil
}
