// Package configurer holds the settings of one VM's process, such as its addresses and
// the services of the platform. The services, teams and routes of the fleet are not
// settings: the manifest declares them.
package configurer

import (
	"cmp"
	"reflect"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
)

const (
	// defaultMemory is the assumed memory of a VM.
	defaultMemory = 512 << 20
	// bodyMemoryDivisor leaves memory for connections, and for the garbage collector,
	// which frees a body some time after its last use.
	bodyMemoryDivisor = 4
)

// DefaultRetention is the assumed retention of the log.
const DefaultRetention = 24 * time.Hour

// Settings are the settings of a process. Package decoder checks them.
type Settings struct {
	id         string
	dataCentre string
	region     string
	// callers, peers and operators are the IP addresses and ports to listen on.
	callers   string
	peers     string
	operators string
	// advertised is the address at which other VMs reach the peers' listener.
	advertised string
	// logURL and vmListURL are the base URLs of the log service and of the VM list;
	// "" if store is set.
	logURL    string
	vmListURL string
	// store is the IP address and port of the platform's store, or "" if the fleet
	// runs on a log and a VM list.
	store string
	// metrics is the address of an additional operators' listener, or "".
	metrics string
	// readyPath is an additional path that serves readiness, or "".
	readyPath string
	// retries is the platform's allowance of retries for each service.
	retries retrier.Allowance
	// queue is set where requests wait for room of their service.
	queue bool
	// retrySpacing is set where retries after rejections are delayed.
	retrySpacing bool
	// hedgeShare is the maximum of hedges as a share of the requests of a service, over the
	// fleet; 0 means that no request is hedged.
	hedgeShare float64
	// retention is the least time that the log keeps a record; above 0.
	retention time.Duration
	// maxBody is the largest size of a request's body in bytes.
	maxBody int
	// memory is the memory in bytes that the process may use; 0 if it is not known.
	memory int64
	// stopGrace is how long a stopping VM continues to serve after it reports that it
	// is not ready.
	stopGrace time.Duration
	// peerKeys are the keys of the reports between VMs. The first signs them; empty if
	// they are not signed.
	peerKeys  []string
	logFormat logger.Format
	tracing   Tracing
	// assignsTargets is set if the targets of a data centre are divided among its VMs.
	assignsTargets bool
	// maxRelayedRecord is the length, in bytes, up to which records of the store are
	// relayed in pieces; 0 if none are.
	maxRelayedRecord int
}

// Exporter names a destination of trace spans.
type Exporter string

// The exporters.
const (
	// ExporterOff exports no spans.
	ExporterOff Exporter = "off"
	// ExporterJSONLines writes spans to a file as JSON lines.
	ExporterJSONLines Exporter = "jsonl"
	// ExporterOTLP sends spans to a collector over OTLP.
	ExporterOTLP Exporter = "otlp"
)

// Tracing holds the settings of traces.
type Tracing struct {
	exporter Exporter
	// endpoint is the collector's URL for OTLP, or the file for JSON lines.
	endpoint string
	// sample is the share of requests that are traced, from 0 to 1. It does not hold
	// for requests whose callers sent a sampling decision.
	sample float64
}

// NewTracing returns the settings of traces.
func NewTracing(e Exporter, endpoint string, sample float64) Tracing {
	return Tracing{
		exporter: e,
		endpoint: endpoint,
		sample:   sample,
	}
}

// Exporter returns the destination of spans.
func (t Tracing) Exporter() Exporter { return t.exporter }

// Endpoint returns the collector's URL for OTLP, or the file for JSON lines.
func (t Tracing) Endpoint() string { return t.endpoint }

// Sample returns the share of requests that are traced, from 0 to 1.
func (t Tracing) Sample() float64 { return t.sample }

// Spec lists the settings of a process, as the accessors of Settings describe them.
type Spec struct {
	ID         string
	DataCentre string
	Region     string
	Callers    string
	Peers      string
	Operators  string
	Advertised string
	LogURL     string
	VMListURL  string
	Store      string
	ReadyPath  string
	Retries    retrier.Allowance
	Queue      bool
	// HedgeShare is optional.
	HedgeShare float64
	Metrics    string
	// RetrySpacing is optional.
	RetrySpacing bool
	// Retention is optional; 0 means DefaultRetention.
	Retention time.Duration
	MaxBody   int
	// Memory is optional; 0 means that it is not known.
	Memory    int64
	StopGrace time.Duration
	// PeerKeys is optional.
	PeerKeys  []string
	LogFormat logger.Format
	Tracing   Tracing
	// AssignsTargets is optional.
	AssignsTargets bool
	// MaxRelayedRecord is optional.
	MaxRelayedRecord int
}

// New returns the settings. It does not check them.
func New(s Spec) *Settings {
	return &Settings{
		id:         s.ID,
		dataCentre: s.DataCentre,
		region:     s.Region,
		callers:    s.Callers,
		peers:      s.Peers,
		operators:  s.Operators,
		advertised: s.Advertised,
		logURL:     s.LogURL,
		vmListURL:  s.VMListURL,
		store:      s.Store,
		readyPath:  s.ReadyPath,
		retries:    s.Retries,
		hedgeShare: s.HedgeShare,
		metrics:    s.Metrics,
		retention:  cmp.Or(s.Retention, DefaultRetention),
		maxBody:    s.MaxBody,
		memory:     s.Memory,
		peerKeys:   s.PeerKeys,
		stopGrace:  s.StopGrace,
		logFormat:  s.LogFormat,
		tracing:    s.Tracing,

		assignsTargets:   s.AssignsTargets,
		maxRelayedRecord: s.MaxRelayedRecord,
		queue:            s.Queue,
		retrySpacing:     s.RetrySpacing,
	}
}

// ID returns the name of the VM.
func (s *Settings) ID() string { return s.id }

// DataCentre returns the VM's data centre.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Region returns the VM's region.
func (s *Settings) Region() string { return s.region }

// Callers returns the address of the callers' listener.
func (s *Settings) Callers() string { return s.callers }

// Peers returns the address of the peers' listener.
func (s *Settings) Peers() string { return s.peers }

// Advertised returns the address at which other VMs reach the peers' listener,
// or "" if that is the address of the listener itself.
func (s *Settings) Advertised() string { return s.advertised }

// Operators returns the address of the operators' listener.
func (s *Settings) Operators() string { return s.operators }

// LogURL returns the base URL of the log service.
func (s *Settings) LogURL() string { return s.logURL }

// VMListURL returns the base URL of the VM list.
func (s *Settings) VMListURL() string { return s.vmListURL }

// Store returns the IP address and port of the platform's store, or "" if the fleet runs
// on a log and a VM list.
func (s *Settings) Store() string { return s.store }

// Metrics returns the address of an additional operators' listener, or "". Only VMs on
// the platform's store open it.
func (s *Settings) Metrics() string { return s.metrics }

// ReadyPath returns an additional path that serves readiness, or "". Only VMs on the
// platform's store serve it.
func (s *Settings) ReadyPath() string { return s.readyPath }

// Retries returns the platform's allowance of retries for each service. Only VMs on the
// platform's store apply it.
func (s *Settings) Retries() retrier.Allowance { return s.retries }

// Queue reports whether requests wait on the VM for room of their service. Only VMs on
// the platform's store apply it.
func (s *Settings) Queue() bool { return s.queue }

// RetrySpacing reports whether retries after rejections are delayed. Only VMs on the
// platform's store delay them.
func (s *Settings) RetrySpacing() bool { return s.retrySpacing }

// HedgeShare returns the maximum of hedges as a share of the requests of a service, over the
// fleet; 0 means that no request is hedged. Only VMs on the platform's store apply it.
func (s *Settings) HedgeShare() float64 { return s.hedgeShare }

// Retention returns the least time that the log keeps a record.
func (s *Settings) Retention() time.Duration { return s.retention }

// MaxBody returns the largest size of a request's body in bytes.
func (s *Settings) MaxBody() int { return s.maxBody }

// Equal reports whether all settings are the same.
func (s *Settings) Equal(other *Settings) bool { return reflect.DeepEqual(s, other) }

// BodyMemory returns the number of bytes that the bodies of all requests and responses
// together may hold at any time. It has room for a request with the largest body and its
// response.
func (s *Settings) BodyMemory() int64 {
	return max(cmp.Or(s.memory, defaultMemory)/bodyMemoryDivisor, 2*int64(s.maxBody))
}

// PeerKeys returns the keys of the reports between VMs, that which signs them first; none
// if they are not signed.
func (s *Settings) PeerKeys() []string { return s.peerKeys }

// StopGrace returns how long a stopping VM continues to serve after it reports that it
// is not ready.
func (s *Settings) StopGrace() time.Duration { return s.stopGrace }

// AssignsTargets reports whether the targets of a data centre are divided among its VMs.
// Only VMs on the platform's store apply it.
func (s *Settings) AssignsTargets() bool { return s.assignsTargets }

// MaxRelayedRecord returns the length, in bytes, up to which records of the store that do
// not fit a packet are relayed to other VMs in pieces, or 0 if none are.
func (s *Settings) MaxRelayedRecord() int { return s.maxRelayedRecord }

// LogFormat returns the format of log lines.
func (s *Settings) LogFormat() logger.Format { return s.logFormat }

// Tracing returns the settings of traces.
func (s *Settings) Tracing() Tracing { return s.tracing }
