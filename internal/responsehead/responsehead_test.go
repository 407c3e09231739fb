package responsehead

import (
	"errors"
	"strings"
	"testing"
)

// check passes a head to a Checker, in pieces of the given size.
func check(head string, size int) error {
	var c Checker
	for len(head) > 0 {
		n := min(size, len(head))
		if err := c.Check([]byte(head[:n])); err != nil {
			return err
		}
		head = head[n:]
	}
	return nil
}

// expect checks heads as a whole and byte by byte.
func expect(t *testing.T, want error, heads ...string) {
	t.Helper()
	for _, head := range heads {
		for _, size := range []int{1, len(head)} {
			if err := check(head, size); !errors.Is(err, want) {
				t.Errorf("head %q in pieces of %d: error %v, want %v", head, size, err, want)
			}
		}
	}
}

const fields = "Id: 1\r\nContent-Length: 4\r\n\r\n"

func TestStatusLines(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 503 Busy", "HTTP/1.1 200", "HTTP/1.1 599 ", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 No"} {
		expect(t, nil, line+"\r\n"+fields+"\x00 any body")
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 20 OK",
		"HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTQ/1.1 200 OK", "HTTP/2.0 200 OK", "", "HTTP/1.1",
		"HTTP/1.1 200\tOK", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 000 OK",
	} {
		expect(t, ErrStatusLine, line+"\r\n"+fields)
	}
}

func TestFields(t *testing.T) {
	head := func(line string) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\n" + fields }
	for _, line := range []string{"X-A: b c", "x!#$%&'*+-.^_`|~9:", "X-A:\tb: c\xff "} {
		expect(t, nil, head(line))
	}
	for b := range 256 { // At the beginning, in the middle and at the end of a name.
		valid := b > ' ' && b <= '~' && !strings.ContainsRune("\"(),/:;<=>?@[\\]{}", rune(b))
		for _, line := range []string{string([]byte{byte(b)}) + "engine: x", "eng" + string([]byte{byte(b)}) + "ine: x", "engine" + string([]byte{byte(b)}) + ": x"} {
			err := check(head(line), 1)
			if b == ':' && line[0] != ':' {
				continue // It ends the name.
			}
			if valid != (err == nil) {
				t.Errorf("line %q: error %v, want one: %t", line, err, !valid)
			}
		}
	}
	for _, line := range []string{": no name", "no colon", "X-A: b\r\n continued", "X-A: b\r\n\tcontinued", "X-A: b\x00", "X-A: b\x7f"} {
		expect(t, ErrField, head(line))
	}
	for _, line := range []string{"X-A: b\nX-C: d", "X-A: b\rc", "\nX-A: b", "X-A: b\r\r"} {
		expect(t, ErrLineEnd, head(line))
	}
	expect(t, ErrLineEnd, "HTTP/1.1 200 OK\nId: 1\n\n")
	expect(t, ErrStatusLine, "HTTP/1.1 200 O\x00K\r\n\r\n")
}

// Heads are bounded in bytes and in lines, together with the informational responses before them.
func TestBounds(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\n"
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) + "\r\n" }
	expect(t, nil, begin+lines(MaxLines-2)+strings.Repeat("any body", MaxBytes))
	expect(t, nil, begin+"a:"+strings.Repeat("b", MaxBytes-len(begin)-len("a:\r\n\r\n"))+"\r\n\r\n")
	expect(t, ErrTooLarge, begin+lines(MaxLines-1))
	expect(t, ErrTooLarge, begin+"a:"+strings.Repeat("b", MaxBytes-len(begin)-len("a:\r\n\r\n")+1)+"\r\n\r\n")
	expect(t, ErrTooLarge, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxLines/2)+begin)
}
