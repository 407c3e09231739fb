// Package responsehead checks the heads of HTTP/1.1 responses (RFC 9112) byte by byte, before net/http parses them.
//
// net/http is lenient toward servers: it accepts heads that are no response and drops or changes the invalid part, so
// that a damaged response cannot be told from a sound one afterwards.
package responsehead
