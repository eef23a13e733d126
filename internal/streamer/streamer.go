// Package streamer is the client of the platform's log over HTTP and JSON.
package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

const (
	// appendTimeout bounds an append.
	appendTimeout = 3 * time.Second
	// readMargin is how much longer than its waiting time a read may take.
	readMargin = 3 * time.Second
	// idleConnections bounds how many idle connections are kept, and idleTimeout how
	// long.
	idleConnections = 4
	idleTimeout     = 30 * time.Second
	// maxResponseBytes bounds the body of one response of the log.
	maxResponseBytes = 64 << 20
)

// StatusError reports a response of the log with a status other than 200.
type StatusError struct {
	status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the log returned status %d", e.status)
}

// Client reads and appends records of the log. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the log at the base URL, such as
// http://10.0.0.9:7000.
func NewClient(base string) *Client {
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost:   idleConnections,
				IdleConnTimeout:       idleTimeout,
				ResponseHeaderTimeout: time.Minute,
			},
		},
	}
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type batchJSON struct {
	Records []recordJSON `json:"records"`
	First   int64        `json:"first"`
	Head    int64        `json:"head"`
}

type appendedJSON struct {
	Offset int64 `json:"offset"`
}

// Append appends one record and returns its offset. The error is a
// *recorder.UnavailableError.
func (c *Client) Append(ctx context.Context, stream recorder.Stream, data []byte) (recorder.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, recorder.NewUnavailableError(stream, false, err)
	}
	var out appendedJSON
	if err := c.do(req, &out); err != nil {
		return 0, recorder.NewUnavailableError(stream, mayHaveAppended(err), err)
	}

	return recorder.Offset(out.Offset), nil
}

// Read returns the records at the offset from and after it. If there are none yet, the
// log waits up to wait for one. The error is a *recorder.UnavailableError or, where the
// log no longer keeps the record at from, a *recorder.ExpiredError.
func (c *Client) Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	url := c.url(stream) + "?from=" + strconv.FormatInt(int64(from), 10) + "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return recorder.Batch{}, recorder.NewUnavailableError(stream, false, err)
	}
	var out batchJSON
	if err := c.do(req, &out); err != nil {
		return recorder.Batch{}, recorder.NewUnavailableError(stream, false, err)
	}
	if from < recorder.Offset(out.First) {
		return recorder.Batch{}, recorder.NewExpiredError(from, recorder.Offset(out.First))
	}
	records := make([]recorder.Record, 0, len(out.Records))
	for _, r := range out.Records {
		records = append(records, recorder.NewRecord(recorder.Offset(r.Offset), r.Data))
	}

	return recorder.NewBatch(records, recorder.Offset(out.First), recorder.Offset(out.Head)), nil
}

func (c *Client) url(stream recorder.Stream) string {
	return c.base + "/streams/" + string(stream) + "/records"
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "calling the log")
	}
	defer resp.Body.Close() //nolint:errcheck // An error of closing a response body has no effect.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "reading the log's response")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{
			status: resp.StatusCode,
		}
	}

	return errors.Wrap(json.Unmarshal(data, out), "decoding the log's response")
}

// mayHaveAppended reports whether a failed append may have taken effect. It has not
// where the log returned a status other than 200.
func mayHaveAppended(err error) bool {
	var status *StatusError

	return !errors.As(err, &status)
}
