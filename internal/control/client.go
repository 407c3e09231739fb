// Package control implements hyssopctl: its commands, and the client of the
// operators' HTTP interface of an entry, which most commands call.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/operatorapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/httpclient"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// maxResponseBytes bounds a response body.
const maxResponseBytes = 128 << 20

// Errors of Client. ExitCode maps them to the exit codes of hyssopctl.
const (
	ErrUnreachable  = errors.ConstError("the operators' address of the entry is unreachable")
	ErrUnauthorized = errors.ConstError("the operators' token is missing or invalid")
	ErrInvalid      = errors.ConstError("rejected as invalid")
	ErrConflict     = errors.ConstError("conflict")
	ErrUnavailable  = errors.ConstError("not possible at the moment")
	ErrNotInForce   = errors.ConstError("stored, but not yet in force at a majority of the entries")
)

// Client calls the operators' HTTP interface of one entry.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// NewClient returns a Client for an operators' address (host and port). The timeout
// applies to each call.
func NewClient(address, token string, timeout time.Duration) *Client {
	return &Client{baseURL: "http://" + address, token: token, http: &http.Client{Timeout: timeout}}
}

// GetList returns a list's text and its revision.
func (c *Client) GetList(ctx context.Context, list config.List) ([]byte, config.Revision, error) {
	data, header, err := c.call(ctx, http.MethodGet, "/lists/"+string(list), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseUint(header.Get(operatorapi.HeaderRevision), 10, 64)
	return data, config.Revision(revision), err
}

// CheckList validates a list without storing it. It returns ErrInvalid with the
// list's problems, or nil.
func (c *Client) CheckList(ctx context.Context, list config.List, text []byte) error {
	_, _, err := c.call(ctx, http.MethodPost, "/lists/"+string(list)+"/check", text, nil)
	return err
}

// ApplyList replaces a list and returns the new revision. It returns ErrConflict if
// the list was changed after the revision base, and ErrInvalid if text is invalid.
func (c *Client) ApplyList(ctx context.Context, list config.List, text []byte, base config.Revision) (config.Revision, error) {
	header := http.Header{operatorapi.HeaderRevision: {strconv.FormatUint(uint64(base), 10)}}
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

// GrantedKey is a newly granted key.
type GrantedKey struct {
	Key      string          `json:"key"` // The key itself; only its hash is stored.
	Hash     ident.KeyHash   `json:"hash"`
	Revision config.Revision `json:"revision"`
}

// GrantKey grants a new key to an organisation.
func (c *Client) GrantKey(ctx context.Context, org ident.Organisation) (GrantedKey, error) {
	var out GrantedKey
	err := c.callJSON(ctx, http.MethodPost, "/keys/"+url.PathEscape(string(org)), &out)
	return out, err
}

// ListKeys returns the hashes of an organisation's keys.
func (c *Client) ListKeys(ctx context.Context, org ident.Organisation) ([]operatorapi.KeyRow, error) {
	var out []operatorapi.KeyRow
	err := c.callJSON(ctx, http.MethodGet, "/keys/"+url.PathEscape(string(org)), &out)
	return out, err
}

// WithdrawKey withdraws the key with the given hash and returns which entries have
// the withdrawal in force. The hash may be abbreviated to an unambiguous prefix,
// and may be empty if the organisation has one key.
func (c *Client) WithdrawKey(ctx context.Context, org ident.Organisation, hash string) (config.Withdrawal, error) {
	var out config.Withdrawal
	path := "/keys/" + url.PathEscape(string(org))
	if hash != "" {
		path += "/" + url.PathEscape(hash)
	}
	err := c.callJSON(ctx, http.MethodDelete, path, &out)
	return out, err
}

// Status returns the state of the fleet as seen by the entry that is called.
func (c *Client) Status(ctx context.Context) (operatorapi.Status, error) {
	var out operatorapi.Status
	err := c.callJSON(ctx, http.MethodGet, "/status", &out)
	return out, err
}

// callJSON sends a request without a body and decodes the response into out.
func (c *Client) callJSON(ctx context.Context, method, path string, out any) error {
	data, _, err := c.call(ctx, method, path, nil, nil)
	if err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(data, out))
}

// call sends a request and returns the body and the headers of the response. The
// error is ErrUnreachable, or that of responseError for a status of 300 or above.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
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
	data, err := httpclient.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, nil, errors.WithType(err, ErrUnreachable)
	}
	return data, resp.Header, responseError(resp.StatusCode, data)
}

// responseError returns the error for a response, or nil for a status below 300.
// The message is that of the response's error body, or else the status text.
func responseError(status int, data []byte) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	var body struct {
		Error operatorapi.ErrorBody `json:"error"`
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
