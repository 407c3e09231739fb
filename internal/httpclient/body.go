package httpclient

import (
	"io"

	"github.com/juju/errors"
)

// ErrBodyTooLarge means that a body has more bytes than it may.
const ErrBodyTooLarge = errors.ConstError("response body too large")

// ReadBody reads a whole body. If it has more than maxBytes bytes, ReadBody returns ErrBodyTooLarge and not its beginning,
// which is no response.
func ReadBody(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}
