package wire

import "net/http"

// FlushWriter writes a response without buffering: it flushes after each write.
type FlushWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// NewFlushWriter returns a FlushWriter that writes to w.
func NewFlushWriter(w http.ResponseWriter) *FlushWriter {
	return &FlushWriter{w: w, control: http.NewResponseController(w)}
}

// Write implements io.Writer.
func (f *FlushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		_ = f.control.Flush()
	}
	return n, err
}
