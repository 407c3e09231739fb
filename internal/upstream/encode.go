package upstream

import (
	"bytes"
	"fmt"
	"net/http"
)

// encodeHead returns the request line and the headers of r as sent on the wire.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer // Writes to a Buffer return no error.
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.WriteSubset(&b, framingHeaders)
	if n := r.bodyLen(); n > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", n)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// framingHeaders are not copied from Request.Header: encodeHead or the connection
// sets them.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}
