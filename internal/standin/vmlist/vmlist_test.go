package vmlist

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"

	listapi "github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// countingWriter adds the bytes of a response body to bytes.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(p []byte) (int, error) {
	*w.bytes += len(p)
	return w.ResponseWriter.Write(p)
}

// fullSizeRows returns one row for each VM of a fleet of the target size.
func fullSizeRows() []listapi.VM {
	const vmCount = 330 + 710
	rows := make([]listapi.VM, 0, vmCount)
	for i := range vmCount {
		rows = append(rows, listapi.VM{
			ID: ident.VM(fmt.Sprintf("engine-%d", i)), Role: listapi.RoleEngine, Address: "10.0.0.1:7000",
			FailureDomain: "domain-1", Region: "region-1", State: listapi.StateLive, Base: "base-7b",
		})
	}
	return rows
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	rows := fullSizeRows()
	list := NewServer(0, rows...)
	sentBytes := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list.ServeHTTP(countingWriter{w, &sentBytes}, r)
	}))
	defer server.Close()
	client := listapi.NewClient(server.URL, time.Minute)
	// readBytes reads the list, which must have wantRows rows. It returns the number
	// of bytes that the server sent for it.
	readBytes := func(wantRows int) int {
		before := sentBytes
		vms, err := client.VMs(t.Context())
		if err != nil || len(vms) != wantRows {
			t.Fatalf("VMs() returned %d rows and the error %v, want %d rows", len(vms), err, wantRows)
		}
		return sentBytes - before
	}
	if readBytes(len(rows)) == 0 {
		t.Error("the server sent 0 bytes for the first read, want the list")
	}
	if again := readBytes(len(rows)); again != 0 {
		t.Errorf("the server sent %d bytes for an unchanged list, want 0", again)
	}
	list.SetNow(rows[1:]...)
	if readBytes(len(rows)-1) == 0 {
		t.Error("the server sent 0 bytes for a changed list, want the list")
	}
}

func TestNotModifiedWithoutPreviousReadIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
		_, _ = io.WriteString(w, "")
	}))
	defer server.Close()
	if _, err := listapi.NewClient(server.URL, time.Minute).VMs(t.Context()); !errors.Is(err, listapi.ErrUnavailable) {
		t.Errorf("VMs() returned the error %v for status 304 to an unconditional request, want ErrUnavailable", err)
	}
}
