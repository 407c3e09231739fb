// Package vmlist reads the platform's list of virtual machines.
//
// The list lags behind the real state: it can contain a VM that no longer exists
// and lack a VM that has just started. Users of the list must therefore contact a
// VM directly before they rely on its state.
//
// List is the interface. Client reads the list over HTTP. Static is an in-memory
// implementation for tests.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/httpclient"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// ErrUnavailable means that the list could not be read.
const ErrUnavailable = errors.ConstError("VM list unavailable")

// Role is the kind of process that a VM runs.
type Role string

// Values of Role.
const (
	RoleEntry  Role = "entry"  // An entry process.
	RoleEngine Role = "engine" // A model engine with its agent.
	RolePlain  Role = "plain"  // An instance of a plain service with its agent.
)

// State is the state of a VM on the list.
type State string

// Values of State.
const (
	StateLive    State = "live"    // The VM can receive work.
	StateLeaving State = "leaving" // The VM must not receive new work.
)

// VM is one row of the list.
type VM struct {
	ID            ident.VM            `json:"id"`
	Role          Role                `json:"role"`
	Address       string              `json:"address"` // Host and port at which other processes of the fleet reach the VM's process.
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Region        ident.Region        `json:"region"`
	State         State               `json:"state"`
	Base          ident.BaseModel     `json:"base,omitempty"`    // Base model of an engine; empty for other roles.
	Service       ident.Service       `json:"service,omitempty"` // Service of a plain endpoint; empty for other roles.
}

// List is the platform's VM list.
type List interface {
	// VMs returns the current rows of the list, or ErrUnavailable. The caller must
	// not modify them.
	VMs(ctx context.Context) ([]VM, error)
}

// maxListBytes bounds the list, in which a row takes 100 to 200 bytes.
const maxListBytes = 4 << 20

// Client reads the list over HTTP as a JSON array of VM. If the server sends an
// ETag, Client makes its next request conditional, so that an unchanged list is not
// transferred again. It is safe for concurrent use.
type Client struct {
	url     string
	client  *http.Client
	timeout time.Duration

	mu   sync.Mutex
	last response
}

// response is a list with its ETag. The ETag is empty if the server sent none.
type response struct {
	etag string
	vms  []VM
}

// NewClient returns a Client for the list at url. Each read takes at most timeout.
func NewClient(url string, timeout time.Duration) *Client {
	transport := httpclient.New(http.DefaultTransport.(*http.Transport).Clone())
	return &Client{url: url, client: &http.Client{Transport: transport}, timeout: timeout}
}

// VMs implements List.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	next, err := c.read(ctx, last)
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	c.mu.Lock()
	c.last = next
	c.mu.Unlock()
	return next.vms, nil
}

// read fetches the list. It returns last if the server responds that the list has
// not changed since.
func (c *Client) read(ctx context.Context, last response) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return response{}, err
	}
	if last.etag != "" {
		req.Header.Set("If-None-Match", last.etag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && last.etag != "":
		return last, nil
	case resp.StatusCode != http.StatusOK:
		return response{}, errors.Errorf("GET %s: status %d, want 200", c.url, resp.StatusCode)
	}
	data, err := httpclient.ReadBody(resp.Body, maxListBytes)
	if err != nil {
		return response{}, err
	}
	next := response{etag: resp.Header.Get("ETag")}
	if err := json.Unmarshal(data, &next.vms); err != nil {
		return response{}, err
	}
	return next, nil
}

// Static is a List in memory, for tests. It is safe for concurrent use.
type Static struct {
	mu   sync.Mutex
	vms  []VM
	down bool
}

// NewStatic returns an available Static with the given rows.
func NewStatic(vms ...VM) *Static {
	return &Static{vms: vms}
}

// Set replaces the rows.
func (s *Static) Set(vms ...VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

// SetUnavailable sets whether VMs returns ErrUnavailable.
func (s *Static) SetUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// VMs implements List.
func (s *Static) VMs(context.Context) ([]VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ErrUnavailable
	}
	return append([]VM(nil), s.vms...), nil
}
