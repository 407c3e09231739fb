package wire

import (
	"mime"
	"net/http"
)

// EventStream is the content type of server-sent events.
const EventStream = "text/event-stream"

// responseHeaders are the headers of an endpoint's response that are forwarded to
// the caller. None of them identifies a process, sets a cookie or controls the
// connection.
var responseHeaders = []string{
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

// CopyResponseHeaders copies the headers that are forwarded to the caller from src
// to dst.
func CopyResponseHeaders(dst, src http.Header) {
	for _, name := range responseHeaders {
		if values := src.Values(name); len(values) > 0 {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// IsEventStream reports whether the content type in h is that of server-sent
// events.
func IsEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == EventStream
}
