// Package drive sends bounded load to a fleet on loopback and reports what
// callers get: delays, refusals by code and answers that were not whole.
package drive

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

// ErrNotLoopback says that the target is not on this machine.
const ErrNotLoopback = errors.ConstError("load goes to loopback addresses only")

const (
	maxDelay        = 10 * time.Minute
	histogramDigits = 3
	percentMedian   = 50
	percentMost     = 95
	maxLineBytes    = 1 << 20
)

var endOfStream = []byte("data: [DONE]")

// Settings are the load's bounds.
type Settings struct {
	Address     string        // Callers' address of an entry, on loopback.
	Key         string        // Key of an organisation.
	Models      []string      // Adapters, asked in turn.
	Requests    int           // Requests in all.
	Concurrency int           // Requests at once.
	MaxTokens   int           // Output tokens of each request.
	Limit       time.Duration // Longest time in all.
}

// New returns the experiment with its flags.
func New() experiment.Experiment {
	s := &Settings{}
	return experiment.Experiment{
		Name:  "drive",
		Help:  "Sends bounded streams of completions to an entry on loopback and reports what callers get.",
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

func (s *Settings) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "Callers' address of an entry, on loopback.").Default("127.0.0.1:8080").StringVar(&s.Address)
	cmd.Flag("key", "Key of an organisation.").Envar("HYSSOP_KEY").Default("demo-smithy").StringVar(&s.Key)
	cmd.Flag("model", "Adapter; repeat the flag for several, asked in turn.").Default("syllabus").StringsVar(&s.Models)
	cmd.Flag("requests", "Requests in all.").Default("200").IntVar(&s.Requests)
	cmd.Flag("concurrency", "Requests at once.").Default("8").IntVar(&s.Concurrency)
	cmd.Flag("max-tokens", "Output tokens of each request.").Default("8").IntVar(&s.MaxTokens)
	cmd.Flag("limit", "Longest time in all.").Default("60s").DurationVar(&s.Limit)
}

// Report is what callers got.
type Report struct {
	Elapsed    time.Duration
	Whole      int                  // Whole answers.
	Broken     int                  // Answers that ended before they were whole.
	Failed     int                  // Requests without an answer.
	Unfinished int                  // Requests that the load's own limit cut.
	Refused    map[refusal.Code]int // Refusals by code.
	FirstToken *hdrhistogram.Histogram
	BetweenTwo *hdrhistogram.Histogram
	mu         sync.Mutex
}

// Run sends the load and returns when it is done or the limit has passed.
func Run(ctx context.Context, s Settings) (*Report, error) {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, ErrNotLoopback
	}
	ctx, cancel := context.WithTimeout(ctx, s.Limit)
	defer cancel()
	report := newReport()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Concurrency}}
	var group errgroup.Group
	group.SetLimit(s.Concurrency)
	begin := time.Now()
	for i := range s.Requests {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			report.request(ctx, client, s, s.Models[i%len(s.Models)])
			return nil
		})
	}
	_ = group.Wait()
	report.Elapsed = time.Since(begin)
	return report, nil
}

func newReport() *Report {
	return &Report{
		Refused:    make(map[refusal.Code]int),
		FirstToken: hdrhistogram.New(1, maxDelay.Microseconds(), histogramDigits),
		BetweenTwo: hdrhistogram.New(1, maxDelay.Microseconds(), histogramDigits),
	}
}

func (r *Report) request(ctx context.Context, client *http.Client, s Settings, model string) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{model, "a short prompt", s.MaxTokens, true})
	if err != nil {
		r.count(func() { r.Failed++ })
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		r.count(func() { r.Failed++ })
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		r.failed(ctx)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.refused(resp)
		return
	}
	r.stream(ctx, resp.Body, begin)
}

func (r *Report) failed(ctx context.Context) {
	r.count(func() {
		if ctx.Err() != nil {
			r.Unfinished++
			return
		}
		r.Failed++
	})
}

func (r *Report) refused(resp *http.Response) {
	data, _ := io.ReadAll(resp.Body)
	refused, ok := refusal.Parse(resp.StatusCode, resp.Header, data)
	r.count(func() {
		if !ok {
			r.Failed++
			return
		}
		r.Refused[refused.Code]++
	})
}

func (r *Report) stream(ctx context.Context, body io.Reader, begin time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	last, first, whole := begin, true, false
	for lines.Scan() {
		line := lines.Bytes()
		if !bytes.HasPrefix(line, []byte("data: ")) {
			continue
		}
		if bytes.Equal(line, endOfStream) {
			whole = true
			continue
		}
		now := time.Now()
		histogram := r.BetweenTwo
		if first {
			histogram = r.FirstToken
			first = false
		}
		gap := max(now.Sub(last).Microseconds(), 1)
		r.count(func() { _ = histogram.RecordValue(gap) })
		last = now
	}
	r.count(func() {
		switch {
		case whole && lines.Err() == nil:
			r.Whole++
		case ctx.Err() != nil:
			r.Unfinished++
		default:
			r.Broken++
		}
	})
}

func (r *Report) count(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	rows := [][]string{
		{"whole answers", strconv.Itoa(r.Whole)},
		{"broken answers", strconv.Itoa(r.Broken)},
		{"no answer", strconv.Itoa(r.Failed)},
		{"cut by the load's own limit", strconv.Itoa(r.Unfinished)},
		{"refused", r.refusals()},
		{"whole answers a second", fmt.Sprintf("%.1f", float64(r.Whole)/r.Elapsed.Seconds())},
		{"first token, median / 95 in 100", quantiles(r.FirstToken)},
		{"between tokens, median / 95 in 100", quantiles(r.BetweenTwo)},
	}
	return experiment.Table(out, []string{"measure", "value"}, rows)
}

func (r *Report) refusals() string {
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

func quantiles(h *hdrhistogram.Histogram) string {
	median := time.Duration(h.ValueAtQuantile(percentMedian)) * time.Microsecond
	most := time.Duration(h.ValueAtQuantile(percentMost)) * time.Microsecond
	return fmt.Sprintf("%s / %s", median, most)
}
