// Package loadgen sends completion requests to an entry on loopback and reports the
// delays, the refusals by code and the incomplete responses. The number of requests,
// their concurrency and the total time are bounded.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// ErrNotLoopback is returned for a target address that is not a loopback IP address
// with a port.
const ErrNotLoopback = errors.ConstError("address is not a loopback IP address with a port")

const (
	maxHistogramDelay = 10 * time.Minute
	histogramDigits   = 3
	medianPercentile  = 50
	highPercentile    = 95
	maxLineBytes      = 1 << 20
)

var endOfStream = []byte("data: [DONE]")

// Settings describe the target and the load.
type Settings struct {
	Address     string        // Loopback address at which an entry serves callers.
	Key         string        // API key of an organisation.
	Models      []string      // Adapters, requested in rotation.
	Requests    int           // Total number of requests.
	Concurrency int           // Maximum number of concurrent requests.
	MaxTokens   int           // Maximum number of output tokens of a request.
	MaxDuration time.Duration // Requests that are active at its end are cancelled.
}

// New returns the experiment with its flags.
func New() experiment.Experiment {
	s := &Settings{}
	return experiment.Experiment{
		Name:  "drive",
		Help:  "Sends a bounded number of streaming completion requests to an entry on loopback and reports delays, refusals and incomplete responses.",
		Flags: s.flags,
		Run: func(ctx context.Context, _ experiment.Options, out io.Writer) error {
			report, err := Run(ctx, *s)
			if err != nil {
				return err
			}
			return report.Print(out)
		},
	}
}

// flags adds the flags of the sub-command.
func (s *Settings) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "Loopback address at which an entry serves callers.").Default("127.0.0.1:8080").StringVar(&s.Address)
	cmd.Flag("key", "API key of an organisation.").Envar("HYSSOP_KEY").Default("demo-smithy").StringVar(&s.Key)
	cmd.Flag("model", "Adapter to request; repeat the flag to request several in rotation.").Default("syllabus").StringsVar(&s.Models)
	cmd.Flag("requests", "Total number of requests.").Default("200").IntVar(&s.Requests)
	cmd.Flag("concurrency", "Maximum number of concurrent requests.").Default("8").IntVar(&s.Concurrency)
	cmd.Flag("max-tokens", "Maximum number of output tokens of a request.").Default("8").IntVar(&s.MaxTokens)
	cmd.Flag("limit", "Maximum total time.").Default("60s").DurationVar(&s.MaxDuration)
}

// Report counts the outcomes of the requests. The histograms are in microseconds.
type Report struct {
	Elapsed    time.Duration
	Complete   int                     // Complete responses.
	Broken     int                     // Responses that ended before they were complete.
	Failed     int                     // Requests without a response, or with an error response that is not a refusal.
	Cancelled  int                     // Requests cancelled by the context of Run or at the end of MaxDuration.
	Refused    map[refusal.Code]int    // Refusals by code.
	FirstToken *hdrhistogram.Histogram // From the request to the first event.
	TokenGaps  *hdrhistogram.Histogram // Between two events.
	mu         sync.Mutex              // Guards the fields above, except Elapsed, while requests are active.
}

// Run sends the requests and returns the report when all have ended or MaxDuration has
// passed. It returns ErrNotLoopback if the address is not a loopback IP address.
func Run(ctx context.Context, s Settings) (*Report, error) {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, ErrNotLoopback
	}
	ctx, cancel := context.WithTimeout(ctx, s.MaxDuration)
	defer cancel()
	report := newReport()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Concurrency}}
	var group errgroup.Group
	group.SetLimit(s.Concurrency)
	start := time.Now()
	for i := range s.Requests {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			report.sendRequest(ctx, client, s, s.Models[i%len(s.Models)])
			return nil
		})
	}
	_ = group.Wait()
	report.Elapsed = time.Since(start)
	return report, nil
}

func newReport() *Report {
	return &Report{
		Refused:    make(map[refusal.Code]int),
		FirstToken: hdrhistogram.New(1, maxHistogramDelay.Microseconds(), histogramDigits),
		TokenGaps:  hdrhistogram.New(1, maxHistogramDelay.Microseconds(), histogramDigits),
	}
}

// sendRequest sends a request and adds its outcome to the report.
func (r *Report) sendRequest(ctx context.Context, client *http.Client, s Settings, model string) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{model, "a short prompt", s.MaxTokens, true})
	if err != nil {
		r.update(func() { r.Failed++ })
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		r.update(func() { r.Failed++ })
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		r.countFailure(ctx)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.countRefusal(resp)
		return
	}
	r.readStream(ctx, resp.Body, start)
}

// countFailure counts a request without a response, as cancelled if ctx is done.
func (r *Report) countFailure(ctx context.Context) {
	r.update(func() {
		if ctx.Err() != nil {
			r.Cancelled++
			return
		}
		r.Failed++
	})
}

// countRefusal counts a response with a status other than 200.
func (r *Report) countRefusal(resp *http.Response) {
	body, _ := io.ReadAll(resp.Body)
	refused, ok := refusal.Parse(resp.StatusCode, resp.Header, body)
	r.update(func() {
		if !ok {
			r.Failed++
			return
		}
		r.Refused[refused.Code]++
	})
}

// readStream reads a stream of events and counts its outcome. A response is complete if
// it ends with endOfStream.
func (r *Report) readStream(ctx context.Context, body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	last, first, complete := start, true, false
	for lines.Scan() {
		line := lines.Bytes()
		if !bytes.HasPrefix(line, []byte("data: ")) {
			continue
		}
		if bytes.Equal(line, endOfStream) {
			complete = true
			continue
		}
		now := time.Now()
		histogram := r.TokenGaps
		if first {
			histogram = r.FirstToken
			first = false
		}
		delay := max(now.Sub(last).Microseconds(), 1)
		r.update(func() { _ = histogram.RecordValue(delay) })
		last = now
	}
	r.update(func() {
		switch {
		case complete && lines.Err() == nil:
			r.Complete++
		case ctx.Err() != nil:
			r.Cancelled++
		default:
			r.Broken++
		}
	})
}

// update calls change with the mutex locked.
func (r *Report) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	rows := [][]string{
		{"whole answers", strconv.Itoa(r.Complete)},
		{"broken answers", strconv.Itoa(r.Broken)},
		{"no answer", strconv.Itoa(r.Failed)},
		{"cut by the load's own limit", strconv.Itoa(r.Cancelled)},
		{"refused", r.formatRefusals()},
		{"whole answers a second", fmt.Sprintf("%.1f", float64(r.Complete)/r.Elapsed.Seconds())},
		{"first token, median / 95 in 100", formatQuantiles(r.FirstToken)},
		{"between tokens, median / 95 in 100", formatQuantiles(r.TokenGaps)},
	}
	return experiment.Table(out, []string{"measure", "value"}, rows)
}

// formatRefusals formats the refusals by code.
func (r *Report) formatRefusals() string {
	if len(r.Refused) == 0 {
		return "0"
	}
	parts := make([]string, 0, len(r.Refused))
	for code, n := range r.Refused {
		parts = append(parts, fmt.Sprintf("%s %d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// formatQuantiles formats the median and the 95th percentile of a histogram in
// microseconds.
func formatQuantiles(h *hdrhistogram.Histogram) string {
	median := time.Duration(h.ValueAtQuantile(medianPercentile)) * time.Microsecond
	high := time.Duration(h.ValueAtQuantile(highPercentile)) * time.Microsecond
	return fmt.Sprintf("%s / %s", median, high)
}
