// Package wire defines the HTTP protocol between an entry and an agent for one
// attempt to run a request.
//
// The entry posts the request's body to PathRun with the Job in the headers. The
// body already has the form that the endpoint expects. The agent responds with a
// refusal, which has the header Hyssop-Ran, or with the endpoint's response:
//
//   - Both have HeaderAttempt and HeaderLoad.
//   - An endpoint's response also has HeaderBoot. It ends with the trailer
//     TrailerComplete, with value "true" if the endpoint's response was whole.
//   - If the endpoint crashed while the attempt ran, a refusal has HeaderCrashed,
//     and an endpoint's response has TrailerCrashed.
package wire

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// maxTimeout is the maximum value of HeaderTimeout that Decode accepts.
const maxTimeout = 24 * time.Hour

// PathRun is the path on the agent to which entries post attempts.
const PathRun = "/run"

// StatusAccepted is the informational status that an agent sends immediately when
// it accepts an attempt with HeaderAccept. The attempt may then wait for its
// grant.
const StatusAccepted = http.StatusProcessing

// Headers of an attempt. All except HeaderAccept carry fields of Job.
const (
	HeaderRequest        = "Hyssop-Request-Id"
	HeaderAttempt        = "Hyssop-Attempt"
	HeaderOrganisation   = "Hyssop-Organisation"
	HeaderBase           = "Hyssop-Base"
	HeaderAdapter        = "Hyssop-Adapter"
	HeaderVersion        = "Hyssop-Version"
	HeaderService        = "Hyssop-Service"
	HeaderMethod         = "Hyssop-Method"
	HeaderPath           = "Hyssop-Path"
	HeaderIdempotent     = "Hyssop-Idempotent"
	HeaderIdempotencyKey = "Hyssop-Idempotency-Key"
	HeaderPriority       = "Hyssop-Priority"
	HeaderWeight         = "Hyssop-Weight"
	HeaderCost           = "Hyssop-Cost"
	HeaderTimeout        = "Hyssop-Timeout-Ms"
	HeaderDeadline       = "Hyssop-Deadline-Ms"
	HeaderStream         = "Hyssop-Stream"
	// HeaderIsolateSuspect carries Job.IsolateSuspect.
	HeaderIsolateSuspect = "Hyssop-Alone"
	// HeaderAccept is "true" if the entry waits for StatusAccepted.
	HeaderAccept = "Hyssop-Accept"
)

// Headers and trailers of an agent's response.
const (
	// HeaderBoot carries the boot id of the endpoint that responded.
	HeaderBoot = "Hyssop-Boot"
	// HeaderLoad carries the agent's Load.
	HeaderLoad = "Hyssop-Load"
	// HeaderCrashed is "true" on a refusal if the endpoint crashed while the
	// attempt ran.
	HeaderCrashed = "Hyssop-Crashed"
	// HeaderReplayed is "true" on a stored response that is sent again for a
	// repeated idempotency key.
	HeaderReplayed = "Hyssop-Replayed"
	// TrailerComplete is "true" if the agent forwarded the whole response.
	TrailerComplete = "Hyssop-Complete"
	// TrailerCrashed is "true" on a broken response if the endpoint crashed.
	TrailerCrashed = "Hyssop-Crashed-Midway"
)

// ErrMalformedJob reports that a header of a Job is missing or invalid.
const ErrMalformedJob = errors.ConstError("malformed attempt headers")

// Job describes one attempt to run a request on one endpoint.
type Job struct {
	RequestID      ident.RequestID
	AttemptID      ident.AttemptID
	Organisation   ident.Organisation // Empty on an open route, which needs no key.
	Base           ident.BaseModel    // Base model; empty for a plain service.
	Adapter        ident.Adapter      // Empty for a plain service.
	Version        ident.Version      // Empty for a plain service.
	Service        ident.Service      // Empty for a model engine.
	Method         string             // HTTP method at the endpoint.
	Path           string             // Path and query at the endpoint.
	ContentType    string             // Content type of the body.
	Idempotent     bool               // Whether the request may run more than once.
	IdempotencyKey string             // The caller's Idempotency-Key; empty if it sent none.
	Priority       int                // Priority class within the organisation; a lower value runs first.
	Weight         int                // Organisation's weight in fair queueing, at least 1.
	Cost           int64              // Maximum tokens of the request: prompt and output.
	Timeout        time.Duration      // Time left until the caller's deadline; millisecond resolution.
	Deadline       time.Time          // The caller's deadline on the entry's clock, in milliseconds; zero if unknown.
	Stream         bool               // Whether the response is a stream of events.
	IsolateSuspect bool               // Whether no other request suspected of crashing endpoints may run at the same time.
	PromptHash     uint64             // Hash of the organisation and the beginning of the prompt, 0 if none; not encoded.
}

// Encode sets the headers of the job in h. Empty strings and a zero Deadline are left
// out.
func (j Job) Encode(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(HeaderRequest, string(j.RequestID))
	set(HeaderAttempt, string(j.AttemptID))
	set(HeaderOrganisation, string(j.Organisation))
	set(HeaderBase, string(j.Base))
	set(HeaderAdapter, string(j.Adapter))
	set(HeaderVersion, string(j.Version))
	set(HeaderService, string(j.Service))
	set(HeaderMethod, j.Method)
	set(HeaderPath, j.Path)
	set("Content-Type", j.ContentType)
	set(HeaderIdempotencyKey, j.IdempotencyKey)
	set(HeaderIdempotent, strconv.FormatBool(j.Idempotent))
	set(HeaderPriority, strconv.Itoa(j.Priority))
	set(HeaderWeight, strconv.Itoa(j.Weight))
	set(HeaderCost, strconv.FormatInt(j.Cost, 10))
	set(HeaderTimeout, strconv.FormatInt(max(j.Timeout.Milliseconds(), 0), 10))
	if !j.Deadline.IsZero() {
		set(HeaderDeadline, strconv.FormatInt(j.Deadline.UnixMilli(), 10))
	}
	set(HeaderStream, strconv.FormatBool(j.Stream))
	set(HeaderIsolateSuspect, strconv.FormatBool(j.IsolateSuspect))
}

// Decode returns the job in the headers h. The error is ErrMalformedJob with the
// name of the first missing or invalid header.
func Decode(h http.Header) (Job, error) {
	d := decoder{header: h}
	j := Job{
		RequestID:      ident.RequestID(d.required(HeaderRequest)),
		AttemptID:      ident.AttemptID(d.required(HeaderAttempt)),
		Organisation:   ident.Organisation(h.Get(HeaderOrganisation)),
		Base:           ident.BaseModel(h.Get(HeaderBase)),
		Adapter:        ident.Adapter(h.Get(HeaderAdapter)),
		Version:        ident.Version(h.Get(HeaderVersion)),
		Service:        ident.Service(h.Get(HeaderService)),
		Method:         d.required(HeaderMethod),
		Path:           d.required(HeaderPath),
		ContentType:    h.Get("Content-Type"),
		Idempotent:     d.boolean(HeaderIdempotent),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
		Priority:       int(d.integer(HeaderPriority)),
		Weight:         int(d.natural(HeaderWeight, math.MaxInt32)),
		Cost:           d.natural(HeaderCost, math.MaxInt64),
		Timeout:        time.Duration(d.natural(HeaderTimeout, maxTimeout.Milliseconds())) * time.Millisecond,
		Deadline:       d.optionalTime(HeaderDeadline),
		Stream:         d.boolean(HeaderStream),
		IsolateSuspect: d.boolean(HeaderIsolateSuspect),
	}
	return j, d.err
}

// decoder parses header values and keeps the first error.
type decoder struct {
	header http.Header
	err    error
}

// fail records that the named header is missing or invalid.
func (d *decoder) fail(name string) {
	if d.err == nil {
		d.err = errors.WithType(errors.Errorf("header %s is missing or invalid", name), ErrMalformedJob)
	}
}

func (d *decoder) required(name string) string {
	value := d.header.Get(name)
	if value == "" {
		d.fail(name)
	}
	return value
}

func (d *decoder) boolean(name string) bool {
	value, err := strconv.ParseBool(d.header.Get(name))
	if err != nil {
		d.fail(name)
	}
	return value
}

// natural returns the header's value, which must be from 0 to limit.
func (d *decoder) natural(name string, limit int64) int64 {
	value := d.integer(name)
	if value < 0 || value > limit {
		d.fail(name)
		return 0
	}
	return value
}

func (d *decoder) integer(name string) int64 {
	value, err := strconv.ParseInt(d.header.Get(name), 10, 64)
	if err != nil {
		d.fail(name)
	}
	return value
}

// optionalTime returns the time in Unix milliseconds, or the zero time if the
// header is missing.
func (d *decoder) optionalTime(name string) time.Time {
	if d.header.Get(name) == "" {
		return time.Time{}
	}
	return time.UnixMilli(d.integer(name))
}
