package wire

import "net/http"

// Flusher writes a response without buffering: it flushes each part immediately
// after the write.
type Flusher struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// NewFlusher returns a Flusher that writes to w.
func NewFlusher(w http.ResponseWriter) *Flusher {
	return &Flusher{w: w, control: http.NewResponseController(w)}
}

// Write implements io.Writer.
func (f *Flusher) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		_ = f.control.Flush()
	}
	return n, err
}
