package wire

import (
	"mime"
	"net/http"
)

// EventStream is the content type of server-sent events.
const EventStream = "text/event-stream"

// answerHeaders are the headers of an endpoint's answer that reach the caller.
// None of them names a process, sets a cookie or steers the connection.
var answerHeaders = []string{
	"Allow",
	"Cache-Control",
	"Content-Disposition",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Etag",
	"Expires",
	"Last-Modified",
	"Location",
	"Retry-After",
	"Vary",
}

// CopyAnswerHeaders copies the headers that reach the caller from src to dst.
func CopyAnswerHeaders(dst, src http.Header) {
	for _, name := range answerHeaders {
		if values := src.Values(name); len(values) > 0 {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// IsEventStream reports whether an answer is a stream of server-sent events.
func IsEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == EventStream
}
