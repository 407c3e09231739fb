// Package wire is the contract between an entry and an agent for one attempt
// to run a request.
//
// The entry posts the request's body to PathRun with the Job in headers; the
// body is already in the form that the endpoint expects. The agent answers
// either with a refusal, which carries the header Hyssop-Ran, or with the
// endpoint's answer, which ends with the trailer TrailerComplete of value
// "true" where the endpoint's answer was whole. Both carry HeaderAttempt and
// HeaderLoad; an answer carries HeaderBoot too. HeaderCrashed marks a refusal,
// and TrailerCrashed an answer, whose endpoint died while the attempt ran.
package wire

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// maxTimeout bounds the time left that an attempt may claim.
const maxTimeout = 24 * time.Hour

// PathRun is the agent's path for attempts.
const PathRun = "/run"

// StatusAccepted is the informational status that an agent sends at once when
// it takes an attempt with HeaderAccept, which may then wait for its turn.
const StatusAccepted = http.StatusProcessing

// Headers of an attempt.
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
	HeaderAlone          = "Hyssop-Alone"
	// HeaderAccept is "true" where the entry waits for StatusAccepted.
	HeaderAccept = "Hyssop-Accept"
)

// Headers of an answer.
const (
	HeaderBoot = "Hyssop-Boot"
	HeaderLoad = "Hyssop-Load"
	// HeaderCrashed is "true" on a refusal whose endpoint died meanwhile.
	HeaderCrashed = "Hyssop-Crashed"
	// HeaderReplayed is "true" on the stored answer to a repeat.
	HeaderReplayed = "Hyssop-Replayed"
	// TrailerComplete is "true" where the whole answer was passed on.
	TrailerComplete = "Hyssop-Complete"
	// TrailerCrashed is "true" on a broken answer whose endpoint died.
	TrailerCrashed = "Hyssop-Crashed-Midway"
)

// ErrMalformed says that the headers hold no valid Job.
const ErrMalformed = errors.ConstError("malformed attempt headers")

// Job describes one attempt to run a request on one endpoint.
type Job struct {
	Request        ident.RequestID
	Attempt        ident.AttemptID
	Organisation   ident.Organisation // Empty on a route that is open to all.
	Base           ident.Base         // Base model, empty for a plain service.
	Adapter        ident.Adapter      // Empty for a plain service.
	Version        ident.Version      // Empty for a plain service.
	Service        ident.Service      // Empty for a model engine.
	Method         string             // HTTP method at the endpoint.
	Path           string             // Path and query at the endpoint.
	ContentType    string             // Type of the body.
	Idempotent     bool               // Whether a second run does no harm.
	IdempotencyKey string             // The caller's Idempotency-Key, empty where none.
	Priority       int                // Class within the organisation; lower runs first.
	Weight         int                // Organisation's weight in fair queueing, at least 1.
	Cost           int64              // Tokens that the request may take.
	Timeout        time.Duration      // Time left until the caller's deadline.
	Deadline       time.Time          // The caller's deadline by the entry's clock; zero where unknown.
	Stream         bool               // Whether the answer is a stream of events.
	Alone          bool               // Whether no other suspect may run beside it.
	Prefix         uint64             // Hash of the organisation and the prompt's beginning, 0 where none; stays in the entry.
}

// Encode writes the job into h.
func (j Job) Encode(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(HeaderRequest, string(j.Request))
	set(HeaderAttempt, string(j.Attempt))
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
	set(HeaderAlone, strconv.FormatBool(j.Alone))
}

// Decode reads a job from h, or returns ErrMalformed with the header's name.
func Decode(h http.Header) (Job, error) {
	d := decoder{header: h}
	j := Job{
		Request:        ident.RequestID(d.required(HeaderRequest)),
		Attempt:        ident.AttemptID(d.required(HeaderAttempt)),
		Organisation:   ident.Organisation(h.Get(HeaderOrganisation)),
		Base:           ident.Base(h.Get(HeaderBase)),
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
		Alone:          d.boolean(HeaderAlone),
	}
	return j, d.err
}

type decoder struct {
	header http.Header
	err    error
}

func (d *decoder) fail(name string) {
	if d.err == nil {
		d.err = errors.WithType(errors.Errorf("header %s", name), ErrMalformed)
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

// natural returns a number from 0 to most.
func (d *decoder) natural(name string, most int64) int64 {
	value := d.integer(name)
	if value < 0 || value > most {
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

func (d *decoder) optionalTime(name string) time.Time {
	if d.header.Get(name) == "" {
		return time.Time{}
	}
	return time.UnixMilli(d.integer(name))
}
