// Package upstream sends HTTP/1.1 requests to endpoints over pooled connections
// and reports for each failure whether the endpoint may have run the request.
//
// Unlike net/http.Transport it never sends a request twice and reports whether
// any byte of a request was sent. It closes a connection whose state is in doubt:
// bytes follow a response, a response belongs to another request, or a request
// body was not sent completely.
package upstream
