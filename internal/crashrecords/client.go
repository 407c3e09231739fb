package crashrecords

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

// callTimeout bounds one call.
const callTimeout = time.Second

// Client stores and reads records at their holders.
type Client struct{ client *http.Client }

// NewClient returns a Client.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{client: &http.Client{Transport: transport}}
}

// Store stores records at all holders, given by host and port. It returns how many have them.
func (c *Client) Store(ctx context.Context, holders []string, records Records) int {
	stored := 0
	c.callAll(ctx, holders, pathStore, records, func([]byte) error { stored++; return nil })
	return stored
}

// List passes the records of each holder to adopt, one holder after the other. It returns how many responded.
func (c *Client) List(ctx context.Context, holders []string, adopt func(holder string, r Records)) int {
	responded := 0
	for _, holder := range holders {
		c.callAll(ctx, []string{holder}, pathList, struct{}{}, func(data []byte) error {
			var r Records
			if err := json.Unmarshal(data, &r); err != nil {
				return err
			}
			responded++
			adopt(holder, r)
			return nil
		})
	}
	return responded
}

// callAll calls all holders and passes each response to handle, one after the other. Holders that do not respond are left
// out: the records are at others too.
func (c *Client) callAll(ctx context.Context, holders []string, path string, body any, handle func([]byte) error) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, holder := range holders {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			data, err := schedulerapi.Post(ctx, c.client, holder+path, body, maxCallBytes)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = handle(data) // An invalid response counts as none.
		})
	}
	calls.Wait()
}
