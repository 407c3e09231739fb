package wire

import "net/http"

// Flusher passes an answer on as it arrives: each part written is sent at
// once.
type Flusher struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// NewFlusher returns a Flusher to w.
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
