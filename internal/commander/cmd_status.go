package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	// statusTimeout bounds the answer of one VM.
	statusTimeout = 3 * time.Second
	// maxStatusBytes bounds the status of one VM.
	maxStatusBytes = 1 << 20
	// columnGap is the space between two columns of the table.
	columnGap = 2
)

var cmdStatus = command{
	name:    "status ADDRESS...",
	line:    "Ask VMs for their status at their operators' addresses.",
	example: "  lagoonkeel status 10.0.0.1:8082 10.0.0.2:8082",
	args:    cobra.MinimumNArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().Bool("json", false, "print what each VM answers, one line each")
	},
	action: status,
}

// SilentError reports VMs that gave no status.
type SilentError struct {
	count int
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("%d VMs gave no status; check that their processes run and that the addresses are those of the operators' listeners", e.count)
}

// StatusError reports an answer of a VM with an unexpected status.
type StatusError struct {
	status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the VM answered with status %d: is the address that of its operators' listener?", e.status)
}

// vmStatus is the part of a VM's status that the table shows.
type vmStatus struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Next    int64  `json:"next"`
	Ready   bool   `json:"ready"`
	Fresh   bool   `json:"fresh"`
	Members int    `json:"members"`
	Epoch   int64  `json:"epoch"`
	Ranges  int    `json:"ranges"`
	// raw is the whole answer.
	raw []byte
}

func status(ctx context.Context, c *cobra.Command, args []string) error {
	lines, err := c.Flags().GetBool("json")
	if err != nil {
		return usage(errors.Wrap(err, "reading --json"))
	}
	table := &printer{
		out: c.OutOrStdout(),
	}
	columns := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, columnGap, ' ', 0)
	if !lines {
		table.out = columns
		table.line("ADDRESS\tVM\tVERSION\tNEXT\tREADY\tFRESH\tMEMBERS\tEPOCH\tRANGES")
	}
	silent := 0
	for _, address := range args {
		s, err := fetchStatus(ctx, address)
		switch {
		case err != nil:
			silent++
			table.line("%s\t%v", address, err)
		case lines:
			table.line("%s", s.raw)
		default:
			table.line("%s\t%s\t%d\t%d\t%v\t%v\t%d\t%d\t%d", address, s.ID, s.Version, s.Next, s.Ready, s.Fresh, s.Members, s.Epoch, s.Ranges)
		}
	}
	if err := errors.Join(table.err, columns.Flush()); err != nil {
		return errors.Wrap(err, "writing the status")
	}
	if silent > 0 {
		return &SilentError{
			count: silent,
		}
	}

	return nil
}

func fetchStatus(ctx context.Context, address string) (*vmStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return nil, usage(errors.Wrap(err, "building the request"))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "asking the VM")
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read.
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{
			status: resp.StatusCode,
		}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, errors.Wrap(err, "reading the status")
	}
	s := &vmStatus{
		raw: data,
	}

	return s, errors.Wrap(json.Unmarshal(data, s), "decoding the status")
}
