package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// pathChanges is the path of a watch. The response is a wireChanges, or one of the statuses of
// statusErrors.
const pathChanges = "/changes"

// staleGraceShare is how long a call waits for a new confirmation, as a share of its maximum age, if the
// log is stale when it arrives. A relay that has just replaced another one as the reader of its failure
// domain is about to read the store.
const staleGraceShare = 1.0 / 6

// outageRetention is how long an outage is reported after its end. The grace period of registrations is
// shorter.
const outageRetention = time.Minute

// Parameters of a watch.
const (
	paramTopic    = "topic"
	paramEpoch    = "epoch"
	paramAfter    = "after"
	paramWaitMS   = "waitMs"
	paramMaxAgeMS = "maxAgeMs"
	// paramHave is the revision of a value that the caller has. It may be repeated. A caller that understands deltas
	// sends at least one, which may be 0.
	paramHave = "have"
)

// ErrStale reports that a relay read the store longer ago than the bound.
const ErrStale = errors.ConstError("relay read the store too long ago")

// statusErrors are the errors of a watch by their status.
var statusErrors = map[int]error{
	http.StatusServiceUnavailable: catalog.ErrUnavailable,
	http.StatusConflict:           catalog.ErrRestored,
	http.StatusGone:               catalog.ErrCompacted,
	http.StatusTooEarly:           catalog.ErrBehind,
	http.StatusGatewayTimeout:     ErrStale,
}

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Delta    []byte `json:"delta,omitempty"` // Replaces Value: its encoding with respect to the value of the revision Base.
	Base     int64  `json:"base,omitempty"`  // 0 is the empty value.
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// wireOutage is a catalog.Outage. Its times are relative, since the clocks of VMs differ.
type wireOutage struct {
	BeganMS int64 `json:"beganMs"` // Time since it began.
	BackMS  int64 `json:"backMs"`  // Time since the store may have been back.
}

type wireChanges struct {
	Epoch    int64       `json:"epoch"`
	Revision int64       `json:"revision"`
	AgeMS    int64       `json:"ageMs"`  // Time since the changes were confirmed.
	HeldMS   int64       `json:"heldMs"` // Time between the arrival of the call and the response.
	Outage   *wireOutage `json:"outage,omitempty"`
	Items    []wireItem  `json:"items,omitempty"`
}

// Server serves the change logs of its process by topic.
type Server struct {
	logs   map[string]*catalog.ChangeLog
	deltas deltaCache
}

// NewServer returns a Server of change logs.
func NewServer(logs map[string]*catalog.ChangeLog) *Server { return &Server{logs: logs} }

// Log returns the change log of a topic, or nil.
func (s *Server) Log(topic string) *catalog.ChangeLog { return s.logs[topic] }

// Mount adds the handler to r.
func (s *Server) Mount(r chi.Router) { r.Get(pathChanges, s.serveChanges) }

// Close ends all watches, so that their callers choose another relay before the process ends.
func (s *Server) Close() {
	for _, log := range s.logs {
		log.Close()
	}
}

func (s *Server) serveChanges(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	q := r.URL.Query()
	log := s.logs[q.Get(paramTopic)]
	epoch, epochErr := strconv.ParseInt(q.Get(paramEpoch), 10, 64)
	after, afterErr := strconv.ParseInt(q.Get(paramAfter), 10, 64)
	waitMS, waitErr := strconv.ParseInt(q.Get(paramWaitMS), 10, 64)
	maxAgeMS, ageErr := strconv.ParseInt(q.Get(paramMaxAgeMS), 10, 64)
	if log == nil || epochErr != nil || afterErr != nil || waitErr != nil || ageErr != nil {
		http.Error(w, "topic, epoch, after, waitMs and maxAgeMs must name a topic and four integers", http.StatusBadRequest)
		return
	}
	wait, maxAge := time.Duration(waitMS)*time.Millisecond, time.Duration(maxAgeMS)*time.Millisecond
	changes, err := watchLog(r.Context(), log, catalog.Position{Epoch: epoch, Revision: after}, wait, maxAge)
	now := time.Now()
	if err != nil {
		for status, known := range statusErrors {
			if errors.Is(err, known) {
				http.Error(w, err.Error(), status)
				return
			}
		}
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out := wireChanges{
		Epoch: changes.Position.Epoch, Revision: changes.Position.Revision,
		AgeMS: sinceMS(changes.ConfirmedAt, now), HeldMS: now.Sub(began).Milliseconds(),
		Items: make([]wireItem, 0, len(changes.Items)),
	}
	if o := changes.Outage; now.Sub(o.Back) < outageRetention && now.Sub(o.Began) < maxTime {
		out.Outage = &wireOutage{BeganMS: sinceMS(o.Began, now), BackMS: sinceMS(o.Back, now)}
	}
	for _, i := range changes.Items {
		out.Items = append(out.Items, s.encodeItem(log, changes.Position.Epoch, i, q[paramHave]))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // The caller notices a response that is cut.
}

// encodeItem returns an item for a caller that has the values of some revisions; have is empty for a caller that
// does not understand deltas.
func (s *Server) encodeItem(log *catalog.ChangeLog, epoch int64, i catalog.Item, have []string) wireItem {
	out := wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
	if len(have) == 0 || len(i.Value) < catalog.MinKeptBytes {
		return out
	}
	var base []byte
	for _, h := range have[:min(len(have), maxHave)] {
		revision, err := strconv.ParseInt(h, 10, 64)
		if value, known := log.Value(i.Key, revision); err == nil && known {
			base, out.Base = value, revision
		}
	}
	out.Value, out.Delta = nil, s.deltas.encode(i.Key, epoch, out.Base, i.Revision, base, i.Value)
	return out
}

// sinceMS returns the time from t to now in milliseconds, rounded up.
func sinceMS(t, now time.Time) int64 {
	return int64((now.Sub(t) + time.Millisecond - 1) / time.Millisecond)
}

// watchLog returns the changes after a position as soon as there are any, or after wait. It returns ErrStale
// once the last confirmation is older than maxAge and no new one has come in a short time.
func watchLog(
	ctx context.Context, log *catalog.ChangeLog, after catalog.Position, wait, maxAge time.Duration,
) (catalog.Changes, error) {
	began := time.Now()
	end := began.Add(wait)
	staleEnd := began.Add(time.Duration(staleGraceShare * float64(maxAge)))
	for {
		changes, changed, err := log.Read(after)
		now := time.Now()
		next := end
		switch {
		case errors.Is(err, catalog.ErrBehind):
			if !now.Before(end) {
				return catalog.Changes{}, err
			}
		case err != nil:
			return catalog.Changes{}, err
		case now.Sub(changes.ConfirmedAt) >= maxAge:
			if !now.Before(staleEnd) {
				return catalog.Changes{}, ErrStale
			}
			next = staleEnd
		case len(changes.Items) > 0 || !now.Before(end):
			return changes, nil
		default:
			if stale := changes.ConfirmedAt.Add(maxAge); stale.Before(end) {
				next = stale
			}
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-ctx.Done():
			timer.Stop()
			return catalog.Changes{}, ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
