package wire

import (
	"net/http"
	"testing"
	"time"
)

// testJob returns a valid completion job.
func testJob() Job {
	return Job{
		RequestID: "r-1", AttemptID: "0123456789abcdef01234567", Organisation: "smithy", Base: "base",
		Adapter: "syllabus", Version: "v1", Method: http.MethodPost, Path: "/v1/completions?x=1",
		ContentType: "application/json", Idempotent: true, IdempotencyKey: "key", Priority: 1, Weight: 2,
		Cost: 300, Timeout: 30 * time.Second, Stream: true,
	}
}

func TestDecodeReturnsTheEncodedJob(t *testing.T) {
	h := make(http.Header)
	testJob().Encode(h)
	got, err := Decode(h)
	if err != nil || got != testJob() {
		t.Fatalf("Decode() = %+v, error %v, want the encoded job", got, err)
	}
}

// FuzzDecode decodes arbitrary headers. A job that is accepted has no negative
// cost, timeout or weight, and is unchanged after Encode and Decode.
func FuzzDecode(f *testing.F) {
	f.Add("r", "a", "POST", "/x", "true", "1", "1", "10", "1000", "false", "false")
	f.Add("", "a", "POST", "/x", "true", "1", "1", "10", "1000", "false", "false")
	f.Add("r", "a", "POST", "/x", "1", "-1", "0", "9223372036854775808", "-5", "T", "no")
	f.Add("r", "a", "GET", "x", "true", "1", "1", "-10", "9223372036854775807", "false", "false")
	f.Fuzz(func(t *testing.T, request, attempt, method, path, idempotent, priority, weight, cost, timeout, stream, isolate string) {
		h := http.Header{}
		for name, value := range map[string]string{
			HeaderRequest: request, HeaderAttempt: attempt, HeaderMethod: method, HeaderPath: path,
			HeaderIdempotent: idempotent, HeaderPriority: priority, HeaderWeight: weight, HeaderCost: cost,
			HeaderTimeout: timeout, HeaderStream: stream, HeaderIsolateSuspect: isolate,
		} {
			h.Set(name, value)
		}
		job, err := Decode(h)
		if err != nil {
			return
		}
		if job.Cost < 0 || job.Timeout < 0 || job.Weight < 0 {
			t.Fatalf("Decode() accepted %+v, want no negative cost, timeout or weight", job)
		}
		encoded := make(http.Header)
		job.Encode(encoded)
		decoded, err := Decode(encoded)
		if err != nil || decoded != job {
			t.Fatalf("job %+v was decoded as %+v, error %v", job, decoded, err)
		}
	})
}

func BenchmarkEncodeDecode(b *testing.B) {
	job := testJob()
	b.ReportAllocs()
	for b.Loop() {
		h := make(http.Header, 24)
		job.Encode(h)
		if _, err := Decode(h); err != nil {
			b.Fatal(err)
		}
	}
}
