// Package httpclient checks the responses that net/http receives over HTTP/1.1.
//
// Unlike http.Transport alone, a Transport returns an error for a response whose head is invalid or too large (package
// responsehead), and for a body without a length whose connection ended before the request was sent. Over TLS only the
// size of the head is bounded.
package httpclient
