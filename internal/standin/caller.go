package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	callTimeout = 30 * time.Second
	// maxLatencyMicros is the highest latency that the histogram can record.
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	medianPercentile = 50
	tailPercentile   = 99
)

// Plan describes a load with a bounded number of requests.
type Plan struct {
	// Entries are the addresses at which the VMs serve callers. They are used in turn.
	Entries []string `json:"entries"`
	Method  string   `json:"method"`
	Path    string   `json:"path"`
	Key     string   `json:"key"`
	Body    string   `json:"body"`
	// Requests is the number of requests. They are sent by Workers goroutines, at Rate
	// requests a second in total; at a Rate of 0, as fast as the responses arrive.
	Requests int     `json:"requests"`
	Workers  int     `json:"workers"`
	Rate     float64 `json:"rate"`
	// Prefix is the start of the token of each request.
	Prefix string `json:"prefix"`
}

// ParsePlan decodes a plan from JSON. Unknown fields are an error.
func ParsePlan(data []byte) (Plan, error) {
	var p Plan
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(&p)

	return p, errors.Wrap(err, "decoding the plan")
}

// Report holds the counts and latencies of a load.
type Report struct {
	Sent int `json:"sent"`
	// Statuses counts requests by the status of the response; "0" stands for no whole
	// response.
	Statuses map[string]int `json:"statuses"`
	// Outcomes counts responses by the field Lagoonkeel-Outcome; "" stands for a response
	// without it, which came from an upstream.
	Outcomes map[string]int `json:"outcomes"`
	// Targets counts responses by target.
	Targets map[string]int `json:"targets"`
	// Crossed counts responses that carry the token of another request.
	Crossed   int   `json:"crossed"`
	P50Micros int64 `json:"p50Micros"`
	P99Micros int64 `json:"p99Micros"`
}

// JSON returns the report as JSON.
func (r *Report) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")

	return text, errors.Wrap(err, "encoding the report")
}

// Caller sends the load of one plan.
type Caller struct {
	plan    Plan
	client  *http.Client
	mu      sync.Mutex
	report  *Report
	latency *hdrhistogram.Histogram
}

// NewCaller returns a caller.
func NewCaller(p Plan) *Caller {
	p.Workers = max(1, p.Workers)

	return &Caller{
		plan: p,
		client: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: p.Workers,
			},
		},
		report: &Report{
			Statuses: map[string]int{},
			Outcomes: map[string]int{},
			Targets:  map[string]int{},
		},
		latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
}

// Run sends the load and returns the report of it.
func (c *Caller) Run(ctx context.Context) (*Report, error) {
	numbers := make(chan int)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(numbers)
		c.pace(ctx, numbers)

		return nil
	})
	for range c.plan.Workers {
		g.Go(func() error {
			for n := range numbers {
				c.call(ctx, n)
			}

			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, errors.Wrap(err, "sending the load")
	}
	c.report.P50Micros = c.latency.ValueAtQuantile(medianPercentile)
	c.report.P99Micros = c.latency.ValueAtQuantile(tailPercentile)

	return c.report, nil
}

// pace sends the request numbers to the workers at the rate of the plan.
func (c *Caller) pace(ctx context.Context, numbers chan<- int) {
	start := time.Now()
	for n := range c.plan.Requests {
		if c.plan.Rate > 0 {
			due := start.Add(time.Duration(float64(n) / c.plan.Rate * float64(time.Second)))
			select {
			case <-time.After(time.Until(due)):
			case <-ctx.Done():
				return
			}
		}
		select {
		case numbers <- n:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Caller) call(ctx context.Context, n int) {
	token := c.plan.Prefix + strconv.Itoa(n)
	url := "http://" + c.plan.Entries[n%len(c.plan.Entries)] + c.plan.Path
	req, err := http.NewRequestWithContext(ctx, c.plan.Method, url, bytes.NewReader([]byte(c.plan.Body)))
	if err != nil {
		c.count("0", "", "", false)

		return
	}
	req.Header.Set("Test-Token", token)
	if c.plan.Key != "" {
		req.Header.Set("Lagoonkeel-Key", c.plan.Key)
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.count("0", "", "", false)

		return
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read.
	_, err = io.Copy(io.Discard, resp.Body)
	took := time.Since(start)
	if err != nil {
		c.count("0", "", "", false)

		return
	}
	got := resp.Header.Get("Test-Token")
	c.count(strconv.Itoa(resp.StatusCode), resp.Header.Get("Lagoonkeel-Outcome"), resp.Header.Get("Test-Target"), got != "" && got != token)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latency.RecordValue(took.Microseconds()) // Values above maxLatencyMicros are not recorded.
}

func (c *Caller) count(status, outcome, target string, crossed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	c.report.Statuses[status]++
	if status != "0" {
		c.report.Outcomes[outcome]++
	}
	if target != "" {
		c.report.Targets[target]++
	}
	if crossed {
		c.report.Crossed++
	}
}
