package engine

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// MailAddress is the parsed Address of a mail endpoint: smtp://10.0.0.7:25/?from=A&to=B.
type MailAddress struct {
	LMTP     bool
	HostPort string // IP address and port
	From, To string // sender and recipient of the envelope
}

// The URL schemes of mail addresses.
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

// IsMail reports whether an Address is that of a mail endpoint.
func IsMail(address string) bool {
	return strings.HasPrefix(address, SMTP+"://") || strings.HasPrefix(address, LMTP+"://")
}

// ParseMailAddress parses the Address of a mail endpoint.
func ParseMailAddress(address string) (m MailAddress, err error) {
	u, err := url.Parse(address)
	if err != nil {
		return m, err
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil || !IsMail(address) {
		return m, fmt.Errorf("%q is not the address of a mail endpoint", address)
	}
	return MailAddress{LMTP: u.Scheme == LMTP, HostPort: u.Host, From: u.Query().Get("from"), To: u.Query().Get("to")}, nil
}
