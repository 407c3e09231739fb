// Package control is the client of the operators' HTTP interface and the
// commands of hyssopctl.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/operators"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const maxAnswerBytes = 128 << 20

// Errors of Client, which decide hyssopctl's exit code.
const (
	ErrUnreachable  = errors.ConstError("the operators' address does not answer")
	ErrUnauthorized = errors.ConstError("the operators' token is missing or wrong")
	ErrInvalid      = errors.ConstError("not accepted")
	ErrConflict     = errors.ConstError("conflict")
	ErrUnavailable  = errors.ConstError("not possible now")
	ErrNotInForce   = errors.ConstError("stored, but not in force at a majority of the entries")
)

// Client calls the operators' interface of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a Client for the operators' address (host and port).
func NewClient(address, token string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Timeout: timeout}}
}

// GetList returns a list's text and the revision that it belongs to.
func (c *Client) GetList(ctx context.Context, list config.List) ([]byte, config.Revision, error) {
	data, header, err := c.call(ctx, http.MethodGet, "/lists/"+string(list), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseUint(header.Get(operators.HeaderRevision), 10, 64)
	return data, config.Revision(revision), err
}

// CheckList returns what is wrong with a list, or nil.
func (c *Client) CheckList(ctx context.Context, list config.List, text []byte) error {
	_, _, err := c.call(ctx, http.MethodPost, "/lists/"+string(list)+"/check", text, nil)
	return err
}

// ApplyList replaces a list that was read at the given revision.
func (c *Client) ApplyList(ctx context.Context, list config.List, text []byte, read config.Revision) (config.Revision, error) {
	header := http.Header{operators.HeaderRevision: {strconv.FormatUint(uint64(read), 10)}}
	data, _, err := c.call(ctx, http.MethodPut, "/lists/"+string(list), text, header)
	if err != nil {
		return 0, err
	}
	var out struct {
		Revision config.Revision `json:"revision"`
	}
	err = json.Unmarshal(data, &out)
	return out.Revision, err
}

// Granted is a key that was just granted.
type Granted struct {
	Key      string          `json:"key"` // Shown once.
	Hash     ident.KeyHash   `json:"hash"`
	Revision config.Revision `json:"revision"`
}

// GrantKey grants a new key to an organisation.
func (c *Client) GrantKey(ctx context.Context, org ident.Organisation) (Granted, error) {
	var out Granted
	err := c.json(ctx, http.MethodPost, "/keys/"+url.PathEscape(string(org)), &out)
	return out, err
}

// ListKeys returns an organisation's keys.
func (c *Client) ListKeys(ctx context.Context, org ident.Organisation) ([]operators.KeyRow, error) {
	var out []operators.KeyRow
	err := c.json(ctx, http.MethodGet, "/keys/"+url.PathEscape(string(org)), &out)
	return out, err
}

// WithdrawKey withdraws a key by its hash, the beginning of it, or nothing
// where the organisation has one key, and returns where it is in force.
func (c *Client) WithdrawKey(ctx context.Context, org ident.Organisation, hash string) (config.Withdrawal, error) {
	var out config.Withdrawal
	path := "/keys/" + url.PathEscape(string(org))
	if hash != "" {
		path += "/" + url.PathEscape(hash)
	}
	err := c.json(ctx, http.MethodDelete, path, &out)
	return out, err
}

// Status returns the state of the fleet as one entry knows it.
func (c *Client) Status(ctx context.Context) (operators.Status, error) {
	var out operators.Status
	err := c.json(ctx, http.MethodGet, "/status", &out)
	return out, err
}

func (c *Client) json(ctx context.Context, method, path string, out any) error {
	data, _, err := c.call(ctx, method, path, nil, nil)
	if err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(data, out))
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.WithType(err, ErrUnreachable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, errors.WithType(err, ErrUnreachable)
	}
	return data, resp.Header, statusError(resp.StatusCode, data)
}

func statusError(status int, data []byte) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	var body struct {
		Error operators.ErrorBody `json:"error"`
	}
	message := http.StatusText(status)
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Message != "" {
		message = body.Error.Message
	}
	kind := ErrUnavailable
	switch status {
	case http.StatusUnauthorized:
		kind = ErrUnauthorized
	case http.StatusConflict:
		kind = ErrConflict
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound:
		kind = ErrInvalid
	}
	return errors.WithType(errors.New(message), kind)
}
