package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/relaychoice"
)

// fixedTransport responds to each call with one status and body.
type fixedTransport struct {
	status int
	body   io.Reader
}

func (t fixedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: t.status, Header: http.Header{}, Body: io.NopCloser(t.body), Request: req}, nil
}

func newFixedReader(transport http.RoundTripper) *Reader {
	log := logrus.New()
	log.SetOutput(io.Discard)
	relays := NewRelays("", "a", transport, tally.NoopScope, logrus.NewEntry(log))
	return &Reader{Topic: "topic", Relays: relays, Freshness: Within(testBound)}
}

// Whatever a relay responds, its changes are rejected unless they are of the position's epoch and their
// age is within the bound.
func FuzzRelayResponse(f *testing.F) {
	f.Add(200, []byte(`{"epoch":1,"revision":7,"ageMs":5,"heldMs":3,"items":[{"key":"a","value":"YQ==","revision":6}]}`))
	f.Add(200, []byte(`{"epoch":1,"revision":-7,"ageMs":9223372036854775807,"heldMs":9223372036854775807}`))
	f.Add(200, []byte(`{"epoch":1,"ageMs":1,"outage":{"beganMs":-1,"backMs":9223372036854775807}}`))
	f.Add(200, []byte(`{"epoch":1,"items":[{"value":"?"}]}`))
	f.Add(503, []byte(`unavailable`))
	f.Add(204, []byte(``))
	after := catalog.Position{Epoch: 1, Revision: 5}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		reader := newFixedReader(fixedTransport{status, bytes.NewReader(body)})
		began := time.Now()
		changes, err := reader.watchRelay(context.Background(), relaychoice.Relay{VM: "r", Address: "r:1"}, after)
		if err != nil {
			return
		}
		if status != http.StatusOK || changes.Position.Epoch != after.Epoch || !changes.Relayed {
			t.Errorf("status %s accepted with %+v", strconv.Itoa(status), changes)
		}
		if age := began.Sub(changes.ConfirmedAt); age > reader.Freshness.MaxAge || changes.ConfirmedAt.After(time.Now()) {
			t.Errorf("changes confirmed %s before the call accepted, want at most %s", age, reader.Freshness.MaxAge)
		}
	})
}

// A relay that sends bytes without end costs a bounded amount of memory.
func TestEndlessResponseOfRelayIsBounded(t *testing.T) {
	for _, text := range []string{" ", `{"items":[{"value":"`, "["} {
		body := &endlessReader{text: text}
		_, err := newFixedReader(fixedTransport{http.StatusOK, body}).
			watchRelay(context.Background(), relaychoice.Relay{VM: "r", Address: "r:1"}, catalog.Position{Epoch: 1})
		if err == nil || body.read > 2*maxResponseBytes {
			t.Errorf("response of %q without end: error %v after %d bytes, want one after %d at most", text, err, body.read, 2*maxResponseBytes)
		}
	}
}

// endlessReader repeats a text without end and counts the bytes that were read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}
