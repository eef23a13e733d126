package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

var cmdWhere = command{
	name:    "where",
	summary: "Tell where a request would go now, and why, without sending it.",
	example: "  lagoonkeel where --vm 10.0.0.1:8082 --host api.example --path /bookings/7 --method POST --team crew",
	flags: func(c *cobra.Command) {
		c.Flags().String("vm", "", "address of a VM's listener for operators, a host and port")
		c.Flags().String("host", "", "host of the request")
		c.Flags().String("path", "", "path of the request")
		c.Flags().String("method", http.MethodGet, "method of the request")
		c.Flags().String("team", "", "name of the team whose key the request would have; no key if omitted")
		c.Flags().Bool("json", false, "print the response of the VM unchanged (JSON)")
		for _, name := range []string{"vm", "host", "path"} {
			_ = c.MarkFlagRequired(name) // Fails only for a flag that does not exist.
		}
	},
	action: where,
}

// whereOptions holds the values of the flags of where.
type whereOptions struct {
	vm     string
	host   string
	path   string
	method string
	team   string
	asJSON bool
}

func readWhereOptions(c *cobra.Command) (whereOptions, error) {
	var o whereOptions
	var errs [6]error
	f := c.Flags()
	o.vm, errs[0] = f.GetString("vm")
	o.host, errs[1] = f.GetString("host")
	o.path, errs[2] = f.GetString("path")
	o.method, errs[3] = f.GetString("method")
	o.team, errs[4] = f.GetString("team")
	o.asJSON, errs[5] = f.GetBool("json")

	return o, errors.Join(errs[:]...)
}

// WhereError reports a VM that did not tell where the request would go.
type WhereError struct {
	status int
	text   string
}

// Error implements error.
func (e *WhereError) Error() string {
	if e.status == http.StatusNotFound {
		return "the VM does not tell where a request would go; check that it runs on the platform's store and that the address is that of its operators' listener"
	}

	return fmt.Sprintf("the VM answered with HTTP status %d: %s", e.status, e.text)
}

func where(ctx context.Context, c *cobra.Command, _ []string) error {
	o, err := readWhereOptions(c)
	if err != nil {
		return usage(err)
	}
	data, err := fetchWhere(ctx, o)
	if err != nil {
		return err
	}
	var a whereAnswer
	if err := json.Unmarshal(data, &a); err != nil { // An answer that was cut off cannot be decoded.
		return errors.Wrap(err, "decoding the answer")
	}
	if o.asJSON {
		_, err = c.OutOrStdout().Write(data)

		return errors.Wrap(err, "writing the answer")
	}
	t := &whereTable{
		out: c.OutOrStdout(),
	}

	return errors.Wrap(t.write(o, &a), "writing the answer")
}

// fetchWhere asks the VM. The error is a *WhereError if it answers with an HTTP status other
// than 200.
func fetchWhere(ctx context.Context, o whereOptions) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("host", o.host)
	query.Set("path", o.path)
	query.Set("method", o.method)
	query.Set("team", o.team)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.vm+"/where?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, usage(errors.Wrap(err, "building the request"))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "asking the VM")
	}
	defer resp.Body.Close() //nolint:errcheck // An error of Close does not change the result.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, errors.Wrap(err, "reading the answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &WhereError{
			status: resp.StatusCode,
			text:   string(data),
		}
	}

	return data, nil
}
