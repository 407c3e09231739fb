package streamrecords

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

const (
	// storeWait is how long the first event of a stream waits for its record. It is part of the time within
	// which an event must be forwarded, 120 ms.
	storeWait = 50 * time.Millisecond
	// lookupWait bounds a lookup: a fraction of the shortest latency target of a stream, 600 ms.
	lookupWait = 150 * time.Millisecond
	// storeTimeout bounds a call that stores a record, also after the first event was forwarded.
	storeTimeout = 500 * time.Millisecond
	// enoughCopies is how many holders must have a record for its stream to begin without further waiting.
	enoughCopies = 2
)

// Client stores and looks up records at their holders.
type Client struct {
	client *http.Client
}

// NewClient returns a Client.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{client: &http.Client{Transport: transport}}
}

// Store records the origin of a stream for ttl. It returns once enough holders have the record, all have
// responded, or storeWait has passed, and returns how many have it then. Slower holders store it later.
func (c *Client) Store(ctx context.Context, key streamorigin.Key, origin streamorigin.Origin, ttl time.Duration, holders []streamorigin.Holder) int {
	req := storeRequest{
		Organisation: key.Organisation, RequestID: key.RequestID, Service: origin.Service, Software: origin.Software,
		TTLMS: max(ttl.Milliseconds(), 1),
	}
	results := make(chan error, len(holders))
	for _, h := range holders {
		go func() {
			// The caller's leaving must not lose the record: it may come back.
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
			defer cancel()
			_, err := schedulerapi.Post(callCtx, c.client, h.Address+pathStore, req, maxCallBytes)
			results <- err
		}()
	}
	wait := time.NewTimer(storeWait)
	defer wait.Stop()
	stored := 0
	for range holders {
		select {
		case err := <-results:
			if err == nil {
				stored++
			}
		case <-wait.C:
			return stored
		case <-ctx.Done():
			return stored
		}
		if stored >= enoughCopies {
			break
		}
	}
	return stored
}

// Lookup asks the holders for the origin of a stream. It returns once one of them has a record, all have
// responded, or lookupWait has passed.
func (c *Client) Lookup(ctx context.Context, key streamorigin.Key, holders []streamorigin.Holder) streamorigin.Lookup {
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	type response struct {
		reply lookupReply
		err   error
	}
	responses := make(chan response, len(holders))
	for _, h := range holders {
		go func() {
			var r response
			var data []byte
			call := lookupRequest{Organisation: key.Organisation, RequestID: key.RequestID}
			data, r.err = schedulerapi.Post(ctx, c.client, h.Address+pathLookup, call, maxCallBytes)
			if r.err == nil {
				r.err = json.Unmarshal(data, &r.reply)
			}
			responses <- r
		}()
	}
	l := streamorigin.Lookup{Asked: len(holders)}
	for range holders {
		r := <-responses
		switch {
		case r.err != nil:
			continue
		case r.reply.Conflict:
			l.Add(streamorigin.Origin{}, streamorigin.ResultConflict)
		case r.reply.Software != "":
			l.Add(streamorigin.Origin{Service: r.reply.Service, Software: r.reply.Software}, streamorigin.ResultFound)
		default:
			l.Add(streamorigin.Origin{}, streamorigin.ResultUnknown)
		}
		if l.Conflict || l.Found() {
			break
		}
	}
	return l
}
