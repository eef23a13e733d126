package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	// statusTimeout is the timeout of the call to one VM.
	statusTimeout = 3 * time.Second
	// maxStatusBytes is the number of bytes after which the status of a VM is cut off.
	maxStatusBytes = 1 << 20
	// columnGap is the minimum number of spaces between two columns of the table.
	columnGap = 2
)

var cmdStatus = command{
	name:    "status ADDRESS...",
	summary: "Show the status of VMs. ADDRESS is that of a VM's listener for operators.",
	example: "  lagoonkeel status 10.0.0.1:8082 10.0.0.2:8082",
	args:    cobra.MinimumNArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().Bool("json", false, "print the response of each VM unchanged (JSON), or a line with the error")
	},
	action: status,
}

// NoStatusError reports the number of VMs whose status could not be read.
type NoStatusError struct {
	count int
}

// Error implements error.
func (e *NoStatusError) Error() string {
	return fmt.Sprintf("the status of %d VMs could not be read; check that the processes run and that the addresses are those of operators' listeners", e.count)
}

// StatusError reports a response of a VM with an HTTP status other than 200.
type StatusError struct {
	status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the VM answered with HTTP status %d; check that the address is that of its operators' listener", e.status)
}

// vmStatus is a VM's status with the fields that the tables show.
type vmStatus struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Ready   bool   `json:"ready"`
	// Next, Fresh, Members, Epoch and Ranges are those of a VM on the log.
	Next    int64 `json:"next"`
	Fresh   bool  `json:"fresh"`
	Members int   `json:"members"`
	Epoch   int64 `json:"epoch"`
	Ranges  int   `json:"ranges"`
	// Heard, Known, Targets, EvacuatedTargets and Evacuated are those of a VM on the
	// platform's store; Targets is nil for a VM on the log.
	Heard            int      `json:"heard"`
	Known            int      `json:"known"`
	Targets          *int     `json:"targets"`
	EvacuatedTargets int      `json:"evacuatedTargets"`
	Evacuated        []string `json:"evacuated"`
	// raw is the body of the response, up to maxStatusBytes.
	raw []byte
}

func status(ctx context.Context, c *cobra.Command, args []string) error {
	asJSON, err := c.Flags().GetBool("json")
	if err != nil {
		return usage(errors.Wrap(err, "reading --json"))
	}
	lines := &printer{
		out: c.OutOrStdout(),
	}
	table := &statusTable{
		out: c.OutOrStdout(),
	}
	failed := 0
	for _, address := range args {
		s, err := fetchStatus(ctx, address)
		if err != nil {
			failed++
		}
		switch {
		case !asJSON:
			table.add(address, s, err)
		case err != nil:
			lines.line("%s\t%v", address, err)
		default:
			lines.line("%s", s.raw)
		}
	}
	if err := errors.Join(lines.err, table.write()); err != nil {
		return errors.Wrap(err, "writing the status")
	}
	if failed > 0 {
		return &NoStatusError{
			count: failed,
		}
	}

	return nil
}

// statusTable prints VMs on the log and VMs on the platform's store, whose status has other
// fields, as one table each.
type statusTable struct {
	out io.Writer
	// logRows, storeRows and failures are in the order of the addresses.
	logRows   []string
	storeRows []string
	failures  []string
}

// add adds the row of the VM at the address; err is why there is no status.
func (t *statusTable) add(address string, s *vmStatus, err error) {
	switch {
	case err != nil:
		t.failures = append(t.failures, fmt.Sprintf("%s\t%v", address, err))
	case s.Targets == nil:
		t.logRows = append(t.logRows, fmt.Sprintf("%s\t%s\t%d\t%d\t%v\t%v\t%d\t%d\t%d",
			address, s.ID, s.Version, s.Next, s.Ready, s.Fresh, s.Members, s.Epoch, s.Ranges))
	default:
		t.storeRows = append(t.storeRows, fmt.Sprintf("%s\t%s\t%d\t%v\t%d\t%d\t%d\t%s",
			address, s.ID, s.Version, s.Ready, s.Heard, s.Known, *s.Targets, s.evacuation()))
	}
}

// write prints the tables that have rows.
func (t *statusTable) write() error {
	return errors.Join(
		t.writeRows("ADDRESS\tVM\tVERSION\tNEXT\tREADY\tFRESH\tMEMBERS\tEPOCH\tRANGES", t.logRows),
		t.writeRows("ADDRESS\tVM\tVERSION\tREADY\tHEARD\tKNOWN\tTARGETS\tEVACUATED", t.storeRows),
		t.writeRows("ADDRESS\tERROR", t.failures))
}

func (t *statusTable) writeRows(header string, rows []string) error {
	if len(rows) == 0 {
		return nil
	}

	return writeRows(t.out, slices.Insert(slices.Clone(rows), 0, header))
}

// evacuation returns the evacuated data centres and the number of their targets, or "-".
func (s *vmStatus) evacuation() string {
	if len(s.Evacuated) == 0 {
		return "-"
	}

	return fmt.Sprintf("%s (%d targets)", strings.Join(s.Evacuated, ","), s.EvacuatedTargets)
}

// fetchStatus reads the status of the VM from its listener for operators. The error is a
// *StatusError if the VM answers with an HTTP status other than 200.
func fetchStatus(ctx context.Context, address string) (*vmStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return nil, usage(errors.Wrap(err, "building the request"))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "requesting the status")
	}
	defer resp.Body.Close() //nolint:errcheck // An error of Close does not change the result.
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
