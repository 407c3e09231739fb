package httpclient

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestReadBody(t *testing.T) {
	for _, tc := range []struct {
		body io.Reader
		want string
		err  error
	}{
		{strings.NewReader(""), "", nil},
		{strings.NewReader("1234"), "1234", nil},
		{strings.NewReader("12345"), "", ErrBodyTooLarge},
		{io.MultiReader(strings.NewReader("1234"), &failingReader{}), "", io.ErrUnexpectedEOF},
	} {
		if got, err := ReadBody(tc.body, 4); string(got) != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("ReadBody() = %q, error %v; want %q and %v", got, err, tc.want, tc.err)
		}
	}
}

// failingReader fails at once.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
