// Package timelineapi serves the timeline of the whole fleet to operators: the
// events of this entry and of all processes on the VM list, ordered by time.
package timelineapi

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Query parameters.
const (
	ParamAfter        = "after" // Timestamp in the format of hlc.Timestamp.String.
	ParamRequest      = "request"
	ParamOrganisation = "organisation"
	ParamEndpoint     = "endpoint"
	ParamKind         = "kind"
	ParamLimit        = "limit" // Maximum number of events.
)

// ErrQuery reports a query parameter with an invalid value.
const ErrQuery = errors.ConstError("malformed query")

// Options configures NewHandler.
type Options struct {
	VM        ident.VM       // VM of this process.
	Ring      *timeline.Ring // Events of this process.
	Client    *transport.Client
	Directory *directory.Directory
}

// NewHandler returns a handler that responds with a timeline.Merged in JSON,
// or with status 400 to a query that ParseQuery rejects.
func NewHandler(opts Options) http.Handler {
	gatherer := timeline.NewGatherer(timeline.GathererOptions{
		Ring:  opts.Ring,
		HTTP:  opts.Client,
		Peers: func() []timeline.Peer { return peers(opts) },
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := ParseQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(gatherer.Gather(r.Context(), f))
	})
}

// peers returns the processes on the VM list except this one.
func peers(opts Options) []timeline.Peer {
	var out []timeline.Peer
	for _, vm := range opts.Directory.View().VMs {
		if vm.ID != opts.VM {
			out = append(out, timeline.Peer{VM: vm.ID, URL: opts.Client.URL(vm.Address, "")})
		}
	}
	return out
}

// EncodeQuery encodes a filter as query parameters. ParseQuery decodes it.
func EncodeQuery(f timeline.Filter) url.Values {
	q := make(url.Values)
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	if f.After != (hlc.Timestamp{}) {
		q.Set(ParamAfter, f.After.String())
	}
	if f.Limit > 0 {
		q.Set(ParamLimit, strconv.Itoa(f.Limit))
	}
	set(ParamRequest, string(f.Request))
	set(ParamOrganisation, string(f.Organisation))
	set(ParamEndpoint, string(f.Endpoint))
	set(ParamKind, string(f.Kind))
	return q
}

// ParseQuery decodes a filter from query parameters. It returns ErrQuery if a
// value is invalid.
func ParseQuery(q url.Values) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:      ident.RequestID(q.Get(ParamRequest)),
		Organisation: ident.Organisation(q.Get(ParamOrganisation)),
		Endpoint:     ident.Endpoint(q.Get(ParamEndpoint)),
		Kind:         timeline.Kind(q.Get(ParamKind)),
	}
	if f.Kind != "" && !f.Kind.Known() {
		return f, errors.WithType(errors.Errorf("%s: unknown event kind %q", ParamKind, f.Kind), ErrQuery)
	}
	if text := q.Get(ParamAfter); text != "" {
		after, err := hlc.Parse(text)
		if err != nil {
			return f, errors.WithType(errors.Errorf("%s: %v", ParamAfter, err), ErrQuery)
		}
		f.After = after
	}
	if text := q.Get(ParamLimit); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > timeline.MaxPage {
			return f, errors.WithType(errors.Errorf(
				"%s is %.64q, want a number from 1 to %d", ParamLimit, text, timeline.MaxPage), ErrQuery)
		}
		f.Limit = limit
	}
	return f, nil
}
