package timeline

import (
	"context"
	"net/http"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// MaxPage is the maximum number of events that one call returns.
const MaxPage = 2000

// PathPrefix is the path prefix of the handler on the fleet address.
const PathPrefix = rpc.TimelinePathPrefix

// service implements rpc.Timeline for one ring.
type service struct {
	ring *Ring
}

// NewHandler returns an HTTP handler through which other processes of the fleet
// read ring.
func NewHandler(ring *Ring) http.Handler {
	return rpc.NewTimelineServer(service{ring})
}

// Read implements rpc.Timeline.
func (s service) Read(_ context.Context, req *rpc.ReadEventsRequest) (*rpc.ReadEventsResponse, error) {
	f := filterFromRPC(req)
	if f.Limit <= 0 || f.Limit > MaxPage {
		f.Limit = MaxPage
	}
	page := s.ring.Read(f)
	out := &rpc.ReadEventsResponse{More: page.More, Oldest: timeToRPC(page.Oldest)}
	for _, e := range page.Events {
		out.Events = append(out.Events, eventToRPC(e))
	}
	return out, nil
}

func filterFromRPC(req *rpc.ReadEventsRequest) Filter {
	return Filter{
		After:        timeFromRPC(req.GetAfter()),
		Request:      ident.RequestID(req.GetRequest()),
		Organisation: ident.Organisation(req.GetOrganisation()),
		Endpoint:     ident.Endpoint(req.GetEndpoint()),
		Kind:         Kind(req.GetKind()),
		Limit:        int(req.GetLimit()),
	}
}

func filterToRPC(f Filter) *rpc.ReadEventsRequest {
	return &rpc.ReadEventsRequest{
		After:        timeToRPC(f.After),
		Request:      string(f.Request),
		Organisation: string(f.Organisation),
		Endpoint:     string(f.Endpoint),
		Kind:         string(f.Kind),
		Limit:        uint32(min(max(f.Limit, 0), MaxPage)),
	}
}

func timeToRPC(t hlc.Timestamp) *rpc.Timestamp {
	if t == (hlc.Timestamp{}) {
		return nil
	}
	return &rpc.Timestamp{Wall: t.Wall, Logical: t.Logical}
}

func timeFromRPC(t *rpc.Timestamp) hlc.Timestamp {
	return hlc.Timestamp{Wall: t.GetWall(), Logical: t.GetLogical()}
}

func eventToRPC(e Event) *rpc.Event {
	return &rpc.Event{
		Time: timeToRPC(e.Time), Vm: string(e.VM), Kind: string(e.Kind),
		Request: string(e.Request), Attempt: string(e.Attempt), Organisation: string(e.Organisation),
		Endpoint: string(e.Endpoint), Adapter: string(e.Adapter), Version: string(e.Version), Detail: e.Detail,
	}
}

func eventFromRPC(e *rpc.Event) Event {
	return Event{
		Time: timeFromRPC(e.GetTime()), VM: ident.VM(e.GetVm()), Kind: Kind(e.GetKind()),
		Request: ident.RequestID(e.GetRequest()), Attempt: ident.AttemptID(e.GetAttempt()),
		Organisation: ident.Organisation(e.GetOrganisation()), Endpoint: ident.Endpoint(e.GetEndpoint()),
		Adapter: ident.Adapter(e.GetAdapter()), Version: ident.Version(e.GetVersion()), Detail: e.GetDetail(),
	}
}
