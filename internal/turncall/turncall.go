// Package turncall is the call between a router and the scheduler beside an
// engine: a request for a turn, which is held open while the turn is used, and
// a stream of snapshots. Both are lines of JSON over HTTP/2 without encryption.
// The calls between routers use its transport, server and bounds too.
package turncall

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/turns"
)

// Paths of the scheduler's calls.
const (
	PathTurn  = "/turns"
	PathState = "/state"
)

// Ask asks for a turn.
type Ask struct {
	Request    string             `json:"request"`  // Id for the logs.
	Instance   string             `json:"instance"` // Endpoint that the router means.
	Born       int64              `json:"born"`     // Its incarnation; 0 where unknown.
	Version    int64              `json:"version"`  // Of the adapter that the router knows of.
	Model      string             `json:"model"`
	Adapter    string             `json:"adapter"`
	Parts      []turns.PromptPart `json:"parts,omitempty"`
	Prompt     int                `json:"prompt"`
	Output     int                `json:"output"`
	Priority   int                `json:"priority"`
	PatienceMS int64              `json:"patienceMs"`
	AimMS      int64              `json:"aimMs"`    // Until the first event is late.
	GapAimMS   int64              `json:"gapAimMs"` // Longest pause between two events that is on time.
	LoadMS     int64              `json:"loadMs"`   // Of a load from the weight store beside all that are under way.
}

// Reply is the answer to an Ask. A granted turn lasts as long as the answer's
// body is open.
type Reply struct {
	Granted    bool          `json:"granted"`
	Refusal    turns.Refusal `json:"refusal,omitempty"`
	ExpectedMS int64         `json:"expectedMs"`
	Version    int64         `json:"version,omitempty"`
	Cold       bool          `json:"cold,omitempty"`
	WaitedMS   int64         `json:"waitedMs"`
}

const (
	// pingAfter and pingTimeout find connections that went silent. Together
	// they are shorter than the time in which a VM counts as out of contact.
	pingAfter   = 1000 * time.Millisecond
	pingTimeout = 800 * time.Millisecond
	dialTimeout = 400 * time.Millisecond
	maxStreams  = 2000 // Turns that one router can hold or wait for at one engine.
)

// NewTransport returns a transport for calls between the system's processes.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// NewServer returns a server for calls between the system's processes.
func NewServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, Protocols: new(http.Protocols),
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: maxStreams},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// Bounds of the bodies of calls between processes, in bytes.
const (
	MaxAsk  = 64 << 10 // A request for a turn with a prompt of 100 parts takes 5 KB.
	MaxCall = 4 << 10  // Calls between routers name an organisation or an endpoint.
)

// Read reads the body of a call between processes, of at most so many bytes. It
// answers a call that cannot be understood and returns false.
func Read(w http.ResponseWriter, r *http.Request, most int64, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(into); err != nil {
		http.Error(w, "call not understood: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
