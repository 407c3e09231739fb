package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/hyssoptiller/hyssoptiller/internal/responsehead"
)

// Transport is an http.RoundTripper that uses HTTP/1.1. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// New returns a Transport that sends requests by base. It replaces the dialer of base, which nothing else may use.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
	base.MaxResponseHeaderBytes = responsehead.MaxBytes
	return &Transport{base}
}

// CloseIdleConnections closes connections without requests.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn] // net/http may use a second one, if the first was closed while idle.
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				used.Store(c)
				c.begin()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				c.endSend(info.Err)
			}
		},
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if c := used.Load(); err != nil && c != nil && c.invalidHead() != nil {
		return nil, c.invalidHead() // net/http names the bytes before the invalid ones.
	}
	return resp, err
}
