// Package schedulerapi defines the calls between a router and the scheduler of an engine: a
// grant request, which stays open until the grant is released, and a stream of snapshots.
// Both send lines of JSON over unencrypted HTTP/2. The calls between routers also use the
// body limits of this package.
package schedulerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/httpclient"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
)

// Paths of the scheduler's calls.
const (
	PathGrant       = "/turns"
	PathSnapshots   = "/snapshots"   // A stream of grants.SnapshotDelta.
	PathIncarnation = "/incarnation" // Responds with an Incarnation.
	PathPreload     = "/preload"     // Takes a PreloadRequest.
)

// GrantRequest requests the right to run one request on an engine.
type GrantRequest struct {
	RequestID   string `json:"request"`  // For the logs.
	EndpointID  string `json:"instance"` // Engine that the router selected.
	Incarnation int64  `json:"born"`     // Incarnation of that engine; 0 if unknown.
	Version     int64  `json:"version"`  // Adapter version in the router's view.
	// FormerVersionMS is the time that is left to begin on a version before Version; nil in calls of former builds.
	FormerVersionMS *int64              `json:"formerVersionMs,omitempty"`
	Model           string              `json:"model"`
	Adapter         string              `json:"adapter"`
	Parts           []grants.PromptPart `json:"parts,omitempty"`
	PromptTokens    int                 `json:"prompt"`                 // Tokens to prefill.
	OutputTokens    int                 `json:"output"`                 // Maximum number of output tokens.
	Priority        int                 `json:"priority"`               // 0 is the most urgent.
	Continuation    bool                `json:"continuation,omitempty"` // The request goes on with a stream that has begun.
	MaxWaitMS       int64               `json:"patienceMs"`             // Longest wait for the grant.
	LatencyTargetMS int64               `json:"aimMs"`                  // Time left until the first event is late; 0 if there is no target.
	GapTargetMS     int64               `json:"gapAimMs"`               // Longest gap between events that is not late; 0 without a target.
	// RateLimit is the rate limit in the engine's last response to the router; nil if the
	// incarnation has not responded to it yet.
	RateLimit *RateLimit `json:"rateLimit,omitempty"`
	// ColdMS is how long the incarnation remains cold, as the router knows it; 0 if it is not cold.
	ColdMS int64 `json:"coldMs,omitempty"`
	// LoadMS is the estimated time to load an adapter from the weight store. It accounts for
	// the loads that already run; 0 if unknown.
	LoadMS int64 `json:"loadMs"`
}

// FormerVersion returns the time that is left to begin on a version before Version, nil if the call does not say.
func (r GrantRequest) FormerVersion() *time.Duration {
	if r.FormerVersionMS == nil {
		return nil
	}
	left := time.Duration(min(max(*r.FormerVersionMS, -maxVersionMS), maxVersionMS)) * time.Millisecond
	return &left
}

// maxVersionMS is beyond each bound of a former version.
const maxVersionMS = int64(time.Hour / time.Millisecond)

// PreloadRequest requests the load of an adapter ahead of its requests. The scheduler responds at once, and drops it
// after 2 s, or if the engine holds the adapter.
type PreloadRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Demand  int    `json:"demand,omitempty"` // Expected requests per second: idle adapters of a lower demand give way.
}

// Incarnation is the engine's incarnation by a report that its scheduler has read for the call.
type Incarnation struct {
	Incarnation int64 `json:"born"`
}

// RateLimit is the rate limit in a response of an endpoint. The time is relative, since the
// clocks of VMs differ.
type RateLimit struct {
	Named     bool    `json:"named"`
	PerSecond float64 `json:"perSecond"`
	AgeMS     int64   `json:"ageMs"` // Time since the response.
}

// EncodeRateLimit returns an observation for a call made at now, or nil if there is none.
func EncodeRateLimit(o ratelimit.Observation, now time.Time) *RateLimit {
	if o.At.IsZero() {
		return nil
	}
	return &RateLimit{Named: o.Limit.Named, PerSecond: o.Limit.PerSecond, AgeMS: now.Sub(o.At).Milliseconds()}
}

// Decode returns the observation in a call received at now. Nil is no observation.
func (r *RateLimit) Decode(now time.Time) ratelimit.Observation {
	if r == nil {
		return ratelimit.Observation{}
	}
	age := time.Duration(max(r.AgeMS, 0)) * time.Millisecond
	return ratelimit.Observation{Limit: ratelimit.Limit{Named: r.Named, PerSecond: r.PerSecond}, At: now.Add(-age)}
}

// GrantReply is the response to a GrantRequest. A grant lasts until the body of the response is
// closed.
type GrantReply struct {
	Granted        bool           `json:"granted"`
	Refusal        grants.Refusal `json:"refusal,omitempty"`
	ExpectedWaitMS int64          `json:"expectedMs"`        // Wait as estimated when the request arrived.
	Version        int64          `json:"version,omitempty"` // Version of the loaded adapter; 0 if unknown.
	Cold           bool           `json:"cold,omitempty"`    // The request waited for an adapter load.
	WaitedMS       int64          `json:"waitedMs"`          // Time that the request waited at the scheduler.
	// Incarnation is the engine's incarnation by its last report, whatever the router knows; 0 if unknown.
	Incarnation int64 `json:"born,omitempty"`
	// ColdMS is how long the engine remains cold; 0 if it is not cold.
	ColdMS int64 `json:"coldMs,omitempty"`
}

// Bounds of the bodies of calls between processes, in bytes.
const (
	MaxGrantRequestBytes = 64 << 10 // A grant request with a prompt of 100 parts takes 5 KB.
	MaxPreloadBytes      = 1 << 10
	MaxPeerCallBytes     = 4 << 10 // Calls between routers contain an organisation or an endpoint.
)

// DecodeRequest decodes the JSON body of a call, of at most maxBytes bytes, into dst. If that
// fails, DecodeRequest responds with status 400 and returns false.
func DecodeRequest(w http.ResponseWriter, r *http.Request, maxBytes int64, dst any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(dst); err != nil {
		http.Error(w, "invalid request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ErrNoResponse reports that a process did not respond to a call or responded with an error.
const ErrNoResponse = errors.ConstError("process did not respond to the call")

// Post sends a call with a JSON body to HOST:PORT/PATH and returns the body of its response, of at most maxBytes.
func Post(ctx context.Context, client *http.Client, url string, body any, maxBytes int64) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.WithType(err, ErrNoResponse)
	}
	defer resp.Body.Close()
	reply, err := httpclient.ReadBody(resp.Body, maxBytes)
	if err != nil {
		return nil, errors.WithType(err, ErrNoResponse)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		return nil, errors.WithType(errors.Errorf("status %d", resp.StatusCode), ErrNoResponse)
	}
	return reply, nil
}
