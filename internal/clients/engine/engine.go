// Package engine defines the interface to a model engine. Client implements it for
// the published HTTP API of vLLM.
//
// An order (Load or Unload) carries the fencing token of the process that sends it.
// An engine that checks fencing tokens refuses an order whose token is lower than
// one that it has already received; the order then returns ErrFenced. The settings
// of the endpoint define whether its engine checks them. An order whose response is
// lost returns ErrOutcomeUnknown.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/httpclient"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Headers that the engine uses in addition to vLLM's published API.
const (
	// HeaderFencingToken is the fencing token of an order.
	HeaderFencingToken = "X-Fencing-Number"
	// HeaderBootID is the boot id of the engine. Each response carries it.
	HeaderBootID = "X-Boot-Id"
	// HeaderRequestID is the attempt id of a request. The response repeats it.
	HeaderRequestID = "X-Request-Id"
)

const (
	maxResponseBytes = 1 << 20 // Of a response to an order, a health check or a list of models.
	idleConnsPerHost = 256
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Errors of an Engine.
const (
	// ErrUnavailable means that the engine could not be reached or sent no
	// usable response. Client returns it
	// from Health and Models only. An order that returns it was not sent; see
	// package fencing.
	ErrUnavailable = errors.ConstError("engine unavailable")
	// ErrOutcomeUnknown means that an order may have been executed, because no
	// response to it was received.
	ErrOutcomeUnknown = errors.ConstError("outcome of order unknown")
	// ErrFenced means that the engine has already received a higher fencing token.
	ErrFenced = errors.ConstError("order refused: engine has a higher fencing token")
	// ErrOrderFailed means that the engine refused or failed an order for another
	// reason than its fencing token.
	ErrOrderFailed = errors.ConstError("engine refused or failed the order")
)

// FencingToken is a fencing token. Zero means that the process has none.
type FencingToken uint64

// AdapterBuild identifies a build of an adapter that an engine can load.
type AdapterBuild struct {
	Adapter ident.Adapter
	Version ident.Version
}

// Name returns the name of the build on the engine, in the form ADAPTER@VERSION.
func (b AdapterBuild) Name() string {
	return fmt.Sprintf("%s@%s", b.Adapter, b.Version)
}

// Health is the state that an engine reports.
type Health struct {
	Boot     ident.BootID // Changes when the engine restarts.
	Draining bool         // Whether the engine accepts no new work.
}

// Engine is a model engine.
type Engine interface {
	// Health returns the state of the engine, or ErrUnavailable.
	Health(ctx context.Context) (Health, error)
	// Models returns the names of the models that the engine currently serves,
	// including its loaded adapter builds (see AdapterBuild.Name), or ErrUnavailable.
	Models(ctx context.Context) ([]string, error)
	// Load orders the engine to load a build. It returns nil if the engine
	// confirms the load.
	Load(ctx context.Context, b AdapterBuild, token FencingToken) error
	// Unload orders the engine to unload a build. It returns nil if the engine
	// confirms the unload.
	Unload(ctx context.Context, b AdapterBuild, token FencingToken) error
	// Run sends a request and returns the response, whose body the caller must
	// close. Cancelling ctx cancels the request on the engine. If req.Close is
	// set, the request gets a new connection. On a reused connection that the
	// endpoint has just closed, it would be unknown whether the request ran.
	Run(ctx context.Context, req *http.Request) (*http.Response, error)
}

// Client is an Engine that uses HTTP.
type Client struct {
	address     string
	client      *http.Client // Reuses connections.
	freshClient *http.Client // Opens a new connection for each call.
	timeout     time.Duration
}

// NewClient returns a Client for the engine at address (host and port). Every call
// except Run takes at most timeout. dial opens the connections; if it is nil, they
// use TCP.
func NewClient(address string, timeout time.Duration, dial DialFunc) *Client {
	reusing := httpclient.New(&http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, DialContext: dial, DisableCompression: true})
	fresh := httpclient.New(&http.Transport{DisableKeepAlives: true, DialContext: dial, DisableCompression: true})
	return &Client{
		address:     address,
		client:      &http.Client{Transport: reusing, CheckRedirect: returnRedirect},
		freshClient: &http.Client{Transport: fresh, CheckRedirect: returnRedirect},
		timeout:     timeout,
	}
}

// returnRedirect returns a redirect to the caller as the response. If the client
// followed it, the request would run twice.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Health implements Engine.
func (c *Client) Health(ctx context.Context) (Health, error) {
	resp, _, err := c.get(ctx, "/health")
	if err != nil {
		return Health{}, errors.WithType(err, ErrUnavailable)
	}
	h := Health{Boot: ident.BootID(resp.Header.Get(HeaderBootID))}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		h.Draining = true
		return h, nil
	case resp.StatusCode < http.StatusInternalServerError:
		return h, nil // An agent also uses Client for a plain service, which may not implement /health.
	default:
		return Health{}, errors.WithType(
			errors.Errorf("GET %s/health: status %d, want 503 or below 500", c.address, resp.StatusCode), ErrUnavailable)
	}
}

// Models implements Engine.
func (c *Client) Models(ctx context.Context) ([]string, error) {
	resp, data, err := c.get(ctx, "/v1/models")
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.WithType(errors.Errorf("GET %s/v1/models: status %d, want 200", c.address, resp.StatusCode), ErrUnavailable)
	}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "decode response to GET %s/v1/models", c.address), ErrUnavailable)
	}
	names := make([]string, 0, len(list.Data))
	for _, m := range list.Data {
		names = append(names, m.ID)
	}
	return names, nil
}

// adapterOrder is the body of a load or unload order.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"` // Location of the weights; only for a load.
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context, b AdapterBuild, token FencingToken) error {
	order := adapterOrder{Name: b.Name(), Path: fmt.Sprintf("weights/%s/%s", b.Adapter, b.Version)}
	return c.sendOrder(ctx, "/v1/load_lora_adapter", order, token)
}

// Unload implements Engine.
func (c *Client) Unload(ctx context.Context, b AdapterBuild, token FencingToken) error {
	return c.sendOrder(ctx, "/v1/unload_lora_adapter", adapterOrder{Name: b.Name()}, token)
}

// Run implements Engine.
func (c *Client) Run(ctx context.Context, req *http.Request) (*http.Response, error) {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = c.address
	out.Host = c.address
	out.RequestURI = ""
	if out.Close {
		return c.freshClient.Do(out)
	}
	return c.client.Do(out)
}

// get sends a GET request and returns the response and its body, which is already
// closed.
func (c *Client) get(ctx context.Context, path string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return nil, nil, err
	}
	return c.do(req)
}

// sendOrder sends an order with its fencing token. It returns nil if the engine confirms
// the order.
func (c *Client) sendOrder(ctx context.Context, path string, order adapterOrder, token FencingToken) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderFencingToken, strconv.FormatUint(uint64(token), 10))
	resp, data, err := c.do(req)
	if err != nil {
		return errors.WithType(err, ErrOutcomeUnknown)
	}
	return orderError(resp.StatusCode, data)
}

// do sends req and returns the response and its body, which is already closed.
func (c *Client) do(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := httpclient.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, nil, err
	}
	return resp, data, nil
}

// orderError returns the error of an order from the response to it.
func orderError(status int, data []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced
	default:
		return errors.WithType(errors.Errorf("order failed with status %d: %.200s", status, data), ErrOrderFailed)
	}
}
