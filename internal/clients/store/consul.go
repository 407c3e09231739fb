package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/httpclient"
)

const (
	maxConsulResponseBytes = 64 << 20
	// consulWatchGrace is the time that a watch gets to respond after its wait has
	// ended.
	consulWatchGrace = 5 * time.Second
)

// ConsulOptions configures NewConsul.
type ConsulOptions struct {
	Address string        // Host and port of the service's HTTP API.
	Prefix  string        // Prefix of each key in the service, for example "hyssop/".
	Timeout time.Duration // Maximum time for a call other than Watch.
	Client  *http.Client  // If nil, a client that checks responses (package httpclient) is used.
}

// Consul is a Store that uses the published HTTP API of Consul's KV store. It is
// safe for concurrent use.
type Consul struct {
	opts ConsulOptions
}

// consulRecord is a record in the response to a read.
type consulRecord struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

// NewConsul returns a client for the service at opts.Address.
func NewConsul(opts ConsulOptions) *Consul {
	if opts.Client == nil {
		opts.Client = &http.Client{Transport: httpclient.New(http.DefaultTransport.(*http.Transport).Clone())}
	}
	return &Consul{opts: opts}
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Record, error) {
	records, err := c.read(ctx, key, nil, c.opts.Timeout)
	if err != nil {
		return Record{}, err
	}
	if len(records) == 0 {
		return Record{}, ErrNotFound
	}
	return records[0], nil
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string) ([]Record, error) {
	return c.read(ctx, prefix, url.Values{"recurse": {"true"}}, c.opts.Timeout)
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, prev Index) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, ErrTooLarge
	}
	query := url.Values{"cas": {formatIndex(prev)}}
	return c.writeBool(ctx, http.MethodPut, c.keyPath(key), query, value)
}

// Delete implements Store.
func (c *Consul) Delete(ctx context.Context, key string, prev Index) (bool, error) {
	query := url.Values{"cas": {formatIndex(prev)}}
	return c.writeBool(ctx, http.MethodDelete, c.keyPath(key), query, nil)
}

// Watch implements Store with a blocking query.
func (c *Consul) Watch(ctx context.Context, key string, after Index, wait time.Duration) (Record, error) {
	query := url.Values{
		"index": {formatIndex(after)},
		"wait":  {fmt.Sprintf("%dms", wait.Milliseconds())},
	}
	records, err := c.read(ctx, key, query, wait+consulWatchGrace)
	if err != nil {
		return Record{}, err
	}
	if len(records) == 0 {
		return Record{Key: key}, nil
	}
	return records[0], nil
}

// GrantLease implements Store with a session that releases its keys when it expires.
func (c *Consul) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body, err := json.Marshal(struct {
		TTL      string
		Behavior string
	}{TTL: ttl.String(), Behavior: "release"})
	if err != nil {
		return "", errors.Trace(err)
	}
	data, err := c.write(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	var session struct{ ID string }
	if err := json.Unmarshal(data, &session); err != nil || session.ID == "" {
		return "", errors.WithType(errors.New("response to the creation of a session has no valid ID"), ErrOutcomeUnknown)
	}
	return LeaseID(session.ID), nil
}

// RenewLease implements Store.
func (c *Consul) RenewLease(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, http.MethodPut, "/v1/session/renew/"+url.PathEscape(string(lease)), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return ErrLeaseLost
	}
	return err
}

// ReleaseLease implements Store.
func (c *Consul) ReleaseLease(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, http.MethodPut, "/v1/session/destroy/"+url.PathEscape(string(lease)), nil, nil)
	return err
}

// Acquire implements Store.
func (c *Consul) Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error) {
	query := url.Values{"acquire": {string(lease)}}
	return c.writeBool(ctx, http.MethodPut, c.keyPath(key), query, value)
}

// read returns the records that a GET of key with query finds. A key that does not exist
// is no error. It takes at most timeout.
func (c *Consul) read(ctx context.Context, key string, query url.Values, timeout time.Duration) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, data, err := c.call(ctx, http.MethodGet, c.keyPath(key), query, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	switch status {
	case http.StatusOK:
		return c.decode(data)
	case http.StatusNotFound:
		return nil, nil
	default:
		return nil, unavailable(errors.Errorf("GET %s: status %d, want 200 or 404", c.keyPath(key), status))
	}
}

// decode returns the records in the response to a read, without the key prefix.
func (c *Consul) decode(data []byte) ([]Record, error) {
	var raw []consulRecord
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, unavailable(err)
	}
	out := make([]Record, 0, len(raw))
	for _, r := range raw {
		out = append(out, Record{
			Key:   strings.TrimPrefix(r.Key, c.opts.Prefix),
			Value: r.Value,
			Index: Index(r.ModifyIndex),
			Lease: LeaseID(r.Session),
		})
	}
	return out, nil
}

// writeBool sends a conditional write and reports whether the condition held.
func (c *Consul) writeBool(ctx context.Context, method, path string, query url.Values, value []byte) (bool, error) {
	data, err := c.write(ctx, method, path, query, value)
	if err != nil {
		return false, err
	}
	switch strings.TrimSpace(string(data)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.WithType(errors.Errorf("%s %s: body %q, want true or false", method, path, data), ErrOutcomeUnknown)
	}
}

// write sends a write and returns the body of the response.
func (c *Consul) write(ctx context.Context, method, path string, query url.Values, value []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	status, data, err := c.call(ctx, method, path, query, value)
	if err != nil {
		return nil, writeError(err)
	}
	switch status {
	case http.StatusOK:
		return data, nil
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusServiceUnavailable:
		return nil, unavailable(errors.Errorf("%s %s: status %d, want 200", method, path, status))
	default:
		return nil, errors.WithType(errors.Errorf("%s %s: status %d, want 200", method, path, status), ErrOutcomeUnknown)
	}
}

// call sends a request and returns the status and the body of the response.
func (c *Consul) call(ctx context.Context, method, path string, query url.Values, body []byte) (int, []byte, error) {
	target := url.URL{Scheme: "http", Host: c.opts.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	resp, err := c.opts.Client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := httpclient.ReadBody(resp.Body, maxConsulResponseBytes)
	if err != nil {
		return 0, nil, errors.Annotatef(err, "%s %s: reading the response", method, path)
	}
	return resp.StatusCode, data, nil
}

func (c *Consul) keyPath(key string) string {
	return "/v1/kv/" + c.opts.Prefix + key
}

// writeError returns the error of a write that received no response. It is
// ErrUnavailable if no connection could be opened, so that the write was not sent,
// and otherwise ErrOutcomeUnknown.
func writeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unavailable(err)
	}
	return errors.WithType(err, ErrOutcomeUnknown)
}

func unavailable(err error) error {
	return errors.WithType(err, ErrUnavailable)
}

func formatIndex(i Index) string {
	return strconv.FormatUint(uint64(i), 10)
}
