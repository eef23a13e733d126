package decoder

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
)

const (
	defaultMaxBody = 1 << 20
	minMemoryMB    = 32
	maxMemoryMB    = 1 << 20
	bytesPerMB     = 1 << 20
	largestMaxBody = 64 << 20
	// defaultStopGrace is long enough for a load balancer that probes every second
	// and removes a VM after three failed probes.
	defaultStopGrace = 4 * time.Second
	maxStopGrace     = 10 * time.Minute
	maxPort          = 1<<16 - 1
	// minPeerKeyBytes and maxPeerKeys bound the keys of the reports between VMs.
	minPeerKeyBytes = 16
	maxPeerKeys     = 4
	// minRetention and maxRetention bound the retention of the log that the settings
	// may state.
	minRetention = time.Minute
	maxRetention = 10 * 365 * 24 * time.Hour
	// maxExtra and maxWindowSeconds bound the settings of the retry allowance.
	maxExtra         = 1_000_000
	maxWindowSeconds = 3600
	// maxRelayedRecordKB bounds the setting of the records that are relayed in pieces.
	maxRelayedRecordKB = 64
	bytesPerKB         = 1 << 10
	// maxHedgeShare bounds the setting of hedged requests.
	maxHedgeShare = 0.2
)

// Settings decodes a settings document. The error is manifester.Faults.
func Settings(data []byte) (*configurer.Settings, error) {
	r, c, err := openRoot(data)
	if err != nil {
		return nil, err
	}
	spec := configurer.Spec{
		ID:         r.nonEmptyText("id"),
		DataCentre: r.nonEmptyText("dataCentre"),
		Region:     r.nonEmptyText("region"),
		StopGrace:  r.duration("stopGraceMs", defaultStopGrace, 0, maxStopGrace),
		MaxBody:    int(r.integer("maxBodyBytes", defaultMaxBody, 1, largestMaxBody)),
		PeerKeys:   readPeerKeys(r),
		Memory:     r.integer("memoryMB", 0, minMemoryMB, maxMemoryMB) * bytesPerMB,
		LogFormat:  logger.Format(r.choice("logFormat", string(logger.FormatLogfmt), string(logger.FormatJSON))),
	}
	r.object("listen", func(o *reader) {
		spec.Callers = o.address("callers")
		spec.Peers = o.address("peers")
		spec.Operators = o.address("operators")
		spec.Metrics = o.optionalAddress("metrics")
		spec.Advertised = o.optionalAddress("peersAdvertised")
	})
	r.object("platform", func(o *reader) {
		spec.Store = o.optionalAddress("store")
		if spec.Store == "" {
			spec.LogURL = o.baseURL("log")
			spec.VMListURL = o.baseURL("vms")
		}
		spec.ReadyPath = o.optionalText("readyPath", "")
		spec.MaxRelayedRecord = int(o.integer("relayedRecordKB", 0, 0, maxRelayedRecordKB)) * bytesPerKB
		spec.Retention = o.duration("logRetentionMs", configurer.DefaultRetention, minRetention, maxRetention)
	})
	r.object("retries", func(o *reader) {
		spec.Retries = readAllowance(o)
		spec.RetrySpacing = o.boolean("spacing")
	})
	r.object("placement", func(o *reader) {
		spec.AssignsTargets = o.boolean("assignTargets")
	})
	r.object("queue", func(o *reader) {
		spec.Queue = o.boolean("enabled")
	})
	r.object("hedging", func(o *reader) {
		spec.HedgeShare = o.number("share", 0, maxHedgeShare)
	})
	r.object("traces", func(o *reader) {
		spec.Tracing = readTracing(o)
	})
	r.close()
	if err := c.err(); err != nil {
		return nil, err
	}

	return configurer.New(spec), nil
}

// readPeerKeys reads the keys of the reports between VMs. Faults do not contain a key.
func readPeerKeys(r *reader) []string {
	keys := r.texts("peerKeys")
	if len(keys) > maxPeerKeys {
		r.collector.add(r.pathOf("peerKeys"), fmt.Sprintf("there are %d keys", len(keys)), fmt.Sprintf("%d keys at most", maxPeerKeys))
	}
	for i, k := range keys {
		if len(k) < minPeerKeyBytes {
			r.collector.add(r.pathOf(fmt.Sprintf("peerKeys[%d]", i)), fmt.Sprintf("the key has %d bytes", len(k)),
				fmt.Sprintf("at least %d bytes that cannot be guessed", minPeerKeyBytes))
		}
	}

	return keys
}

func readAllowance(r *reader) retrier.Allowance {
	ratio := r.number("perRequest", retrier.DefaultRatio, 1)
	extra := r.number("extra", retrier.DefaultExtra, maxExtra)
	window := r.number("windowSeconds", retrier.DefaultWindow.Seconds(), maxWindowSeconds)
	if window <= 0 {
		r.collector.add(r.pathOf("windowSeconds"), "the value is 0", "a number above 0")
		window = retrier.DefaultWindow.Seconds()
	}

	return retrier.NewAllowance(ratio, extra, time.Duration(window*float64(time.Second)))
}

func readTracing(r *reader) configurer.Tracing {
	exporter := configurer.Exporter(r.choice("exporter",
		string(configurer.ExporterOff), string(configurer.ExporterJSONLines), string(configurer.ExporterOTLP)))
	endpoint := r.optionalText("endpoint", "")
	if exporter != configurer.ExporterOff && endpoint == "" {
		r.collector.add(r.pathOf("endpoint"), "the endpoint is missing", "a file for jsonl, or a URL for otlp")
	}

	return configurer.NewTracing(exporter, endpoint, r.number("sample", 0, 1))
}

// nonEmptyText reads a required string that must not be empty. A value that is not a string
// is reported as empty, too.
func (r *reader) nonEmptyText(name string) string {
	s := r.text(name)
	if s == "" {
		if _, ok := r.get(name); ok {
			r.collector.add(r.pathOf(name), "the value is empty", "a name")
		}
	}

	return s
}

// address reads a required IP address and port.
func (r *reader) address(name string) string {
	v, ok := r.require(name, acceptAddress)
	if !ok {
		return ""
	}

	return r.asAddress(name, v)
}

// optionalAddress reads an IP address and port, or returns "" if the field is missing.
func (r *reader) optionalAddress(name string) string {
	v, ok := r.get(name)
	if !ok {
		return ""
	}

	return r.asAddress(name, v)
}

// acceptAddress describes the accepted addresses in faults.
const acceptAddress = "an IP address and port such as 10.0.0.1:8080"

func (r *reader) asAddress(name string, v any) string {
	s := r.asText(name, v)
	host, port, err := net.SplitHostPort(s)
	n, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil || net.ParseIP(host) == nil || n < 0 || n > maxPort {
		r.collector.add(r.pathOf(name), fmt.Sprintf("%q is not an address", s), acceptAddress)
	}

	return s
}

// baseURL reads the required HTTP or HTTPS base URL of a platform service.
func (r *reader) baseURL(name string) string {
	const accept = "a URL such as http://10.0.0.9:7000"
	v, ok := r.require(name, accept)
	if !ok {
		return ""
	}
	s := r.asText(name, v)
	if !ValidBaseURL(s) {
		r.collector.add(r.pathOf(name), fmt.Sprintf("%q is not a URL", s), accept)
	}

	return s
}

// ValidBaseURL reports whether the text is a URL with a host and the scheme http or https.
func ValidBaseURL(text string) bool {
	u, err := url.Parse(text)

	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
