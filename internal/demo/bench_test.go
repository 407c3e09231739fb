package demo

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

// benchBody requests a completion of one output token.
const benchBody = `{"model":"syllabus","prompt":"when is the next anvil day","max_tokens":1}`

// BenchmarkDirect sends requests directly to an engine stand-in.
func BenchmarkDirect(b *testing.B) {
	engine := httptest.NewServer(enginestandin.NewServer(enginestandin.Options{Slots: engineSlots}))
	defer engine.Close()
	call(b, engine.URL+"/v1/load_lora_adapter", "", `{"lora_name":"syllabus"}`)
	b.ReportAllocs()
	for b.Loop() {
		call(b, engine.URL+"/v1/completions", "", benchBody)
	}
}

// BenchmarkThroughFleet sends the same requests through an entry and an agent.
func BenchmarkThroughFleet(b *testing.B) {
	unlimited := strings.NewReplacer("2000\n", "1000000000\n", "20000\n", "1000000000\n").Replace(seedAllowances)
	d := startWith(b, Options{Allowances: unlimited})
	url := "http://" + d.CallersAddresses()[0] + "/v1/completions"
	call(b, url, "demo-smithy", benchBody)
	b.ReportAllocs()
	for b.Loop() {
		call(b, url, "demo-smithy", benchBody)
	}
}

// call sends body with key and requires the status 200.
func call(b *testing.B, url, key, body string) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("POST %s: status %d, want 200: %s", url, resp.StatusCode, data)
	}
}
