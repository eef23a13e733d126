package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	// statusTimeout bounds the answer of one VM.
	statusTimeout = 3 * time.Second
	// maxStatusBytes bounds the status of one VM.
	maxStatusBytes = 1 << 20
)

var cmdStatus = command{
	name:    "status ADDRESS...",
	line:    "Ask VMs for their status at their operators' addresses.",
	example: "  lagoonkeel status 10.0.0.1:8082 10.0.0.2:8082",
	args:    cobra.MinimumNArgs(1),
	action:  status,
}

// SilentError reports VMs that gave no status.
type SilentError struct {
	count int
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("%d VMs gave no status; check that their processes run and that the addresses are those of the operators' listeners", e.count)
}

func status(ctx context.Context, c *cobra.Command, args []string) error {
	silent := 0
	for _, address := range args {
		text, err := fetchStatus(ctx, address)
		if err != nil {
			silent++
			text = "error: " + err.Error() + "\n"
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "%s %s", address, text); err != nil {
			return errors.Wrap(err, "writing the status")
		}
	}
	if silent > 0 {
		return &SilentError{
			count: silent,
		}
	}

	return nil
}

func fetchStatus(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return "", usage(errors.Wrap(err, "building the request"))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "asking the VM")
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))

	return string(data), errors.Wrap(err, "reading the status")
}
