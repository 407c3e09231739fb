package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// call is one attempt of a client.
type call struct {
	path      string
	method    string
	adapter   string
	prompt    int
	output    int
	parts     string
	limit     time.Duration
	body      string
	requestID string
}

// result is what a client has seen.
type result struct {
	id     string
	sent   string // To which router, and what.
	status int
	events int
	whole  bool // The answer is complete.
	err    error
	took   time.Duration
}

func (r result) String() string {
	text := fmt.Sprintf("request %s (%s): status %d, events %d, whole %t, after %.3f s", r.id, r.sent, r.status, r.events, r.whole, r.took.Seconds())
	if r.err != nil {
		text += ", " + r.err.Error()
	}
	return text
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends requests on kept connections.
type client struct {
	http   http.Client
	onConn func(id string, reused bool) // Called with the connection that a request gets; may be nil.
}

func newClient() *client {
	return &client{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// do sends one attempt to a router.
func (c *client) do(router string, a call) result {
	began := time.Now()
	res := result{id: a.requestID}
	if res.id == "" {
		res.id = newID()
	}
	res.sent = fmt.Sprintf("to %s%s", router, a.path)
	if a.adapter != "" {
		res.sent += fmt.Sprintf(", %s, %d tokens", a.adapter, a.prompt)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.limit)
	defer cancel()
	if c.onConn != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { c.onConn(res.id, info.Reused) }})
	}
	method := a.method
	if method == "" {
		method = http.MethodPost
	}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(a.body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+router+a.path, body)
	if err != nil {
		res.err = err
		return res
	}
	req.GetBody = nil // Clients don't send an attempt again.
	req.Host = host
	req.Header.Set("Request-Id", res.id)
	req.Header.Set("Authorization", "Bearer key-of-smithy")
	req.Header.Set("Deadline-Ms", fmt.Sprint(a.limit.Milliseconds()))
	if a.adapter != "" {
		req.Header.Set("Model", model+"/"+a.adapter)
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", a.prompt, a.output))
		p := a.parts
		if p == "" {
			p = fmt.Sprintf("%s:%d", newID()[:8], a.prompt)
		}
		req.Header.Set("Prompt-Prefix", p)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		res.err, res.took = err, time.Since(began)
		return res
	}
	defer resp.Body.Close()
	res.status = resp.StatusCode
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "id:") {
				res.events++
			}
		}
		err = lines.Err()
	} else {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	res.err, res.whole, res.took = err, err == nil, time.Since(began)
	return res
}
