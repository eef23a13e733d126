package messenger

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/peerpb"
)

// maxReportItems is the maximum length of each list of a report.
const maxReportItems = 4096

type evidenceReceiver interface {
	Receive(r *ejector.Report)
}

// ReportSizeError is the error for a peer's report with a list that is longer than
// maxReportItems.
type ReportSizeError struct {
	vm    string
	items int
}

// Error implements error.
func (e *ReportSizeError) Error() string {
	return fmt.Sprintf("the report of VM %q has %d items in one list: at most %d are taken", e.vm, e.items, maxReportItems)
}

// RegisterEvidence registers the Evidence service, which passes the reports of peers
// to the receiver, with the server.
func RegisterEvidence(s *Server, r evidenceReceiver) error {
	return errors.Wrap(peerpb.DRPCRegisterEvidence(s.mux, &evidenceServer{
		receiver: r,
	}), "registering the evidence service")
}

type evidenceServer struct {
	receiver evidenceReceiver
}

// Report implements peerpb.DRPCEvidenceServer. It returns a *ReportSizeError for a
// report that is too long.
func (s *evidenceServer) Report(_ context.Context, m *peerpb.EvidenceReport) (*peerpb.EvidenceReceipt, error) {
	if n := max(len(m.GetTargets()), len(m.GetServices()), len(m.GetDraining())); n > maxReportItems {
		return nil, &ReportSizeError{
			vm:    m.GetVm(),
			items: n,
		}
	}
	s.receiver.Receive(decodeReport(m))

	return &peerpb.EvidenceReceipt{}, nil
}

// EvidenceClient is the client of the Evidence service of other VMs. It is safe for
// concurrent use.
type EvidenceClient struct {
	pool *Pool
}

// NewEvidenceClient returns a client that uses the pool's connections.
func NewEvidenceClient(p *Pool) *EvidenceClient {
	return &EvidenceClient{
		pool: p,
	}
}

// Send sends a report to the peer at the address. Lists are truncated to the length
// that a peer accepts.
func (c *EvidenceClient) Send(ctx context.Context, address string, r *ejector.Report) error {
	conn := c.pool.Conn(ctx, address)
	defer conn.Close() //nolint:errcheck // Closing a pooled connection returns no error.
	_, err := peerpb.NewDRPCEvidenceClient(conn).Report(ctx, encodeReport(r))

	return errors.Wrap(err, "sending a report to a peer")
}

func encodeReport(r *ejector.Report) *peerpb.EvidenceReport {
	m := &peerpb.EvidenceReport{
		Vm: r.VM(),
	}
	for _, s := range truncate(r.Sums()) {
		m.Targets = append(m.Targets, &peerpb.TargetSum{
			Target:        uint64(s.ID()),
			ShortRequests: s.Short().Requests(),
			ShortFailed:   s.Short().Failed(),
			ShortSlow:     s.Short().Slow(),
			LongRequests:  s.Long().Requests(),
			LongFailed:    s.Long().Failed(),
			LongSlow:      s.Long().Slow(),
		})
	}
	for _, s := range truncate(r.Medians()) {
		m.Services = append(m.Services, &peerpb.ServiceMedian{
			Service:      uint64(s.ID()),
			MedianMicros: uint64(max(0, s.Median().Microseconds())), //nolint:gosec // Not below 0.
		})
	}
	for _, d := range truncate(r.Draining()) {
		m.Draining = append(m.Draining, &peerpb.DrainingTarget{
			Address:   d.Address(),
			AgeMillis: uint64(max(0, d.Age().Milliseconds())), //nolint:gosec // Not below 0.
		})
	}

	return m
}

func truncate[T any](list []T) []T {
	return list[:min(len(list), maxReportItems)]
}

func decodeReport(m *peerpb.EvidenceReport) *ejector.Report {
	sums := make([]ejector.TargetSum, 0, len(m.GetTargets()))
	for _, t := range m.GetTargets() {
		sums = append(sums, ejector.NewTargetSum(
			ejector.TargetID(t.GetTarget()),
			ejector.NewSum(t.GetShortRequests(), t.GetShortFailed(), t.GetShortSlow()),
			ejector.NewSum(t.GetLongRequests(), t.GetLongFailed(), t.GetLongSlow()),
		))
	}
	medians := make([]ejector.ServiceMedian, 0, len(m.GetServices()))
	for _, s := range m.GetServices() {
		medians = append(medians, ejector.NewServiceMedian(ejector.ServiceID(s.GetService()), decodeDuration(s.GetMedianMicros(), time.Microsecond)))
	}
	draining := make([]ejector.Draining, 0, len(m.GetDraining()))
	for _, d := range m.GetDraining() {
		draining = append(draining, ejector.NewDraining(d.GetAddress(), decodeDuration(d.GetAgeMillis(), time.Millisecond)))
	}

	return ejector.NewReport(m.GetVm(), sums, medians, draining)
}

// maxDuration is the maximum duration taken from a peer's report; longer ones are
// clamped to it.
const maxDuration = time.Hour

func decodeDuration(n uint64, unit time.Duration) time.Duration {
	return time.Duration(min(n, uint64(maxDuration/unit))) * unit //nolint:gosec // At most maxDuration.
}
