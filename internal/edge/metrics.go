package edge

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/relay"
)

// maxRouteLabels limits the routes that have a label of their own; the others
// share otherLabel.
const maxRouteLabels = 32

// maxServiceLabels limits the services whose retry budget is exported.
const maxServiceLabels = 32

// maxVersionLabels limits the versions of services that have labels of their own.
const maxVersionLabels = 64

// Metrics are the counters and histograms of the request path.
type Metrics struct {
	Registry *prometheus.Registry

	requests    *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	duration    *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	bodyEnds    *prometheus.CounterVec
	forwards    *prometheus.CounterVec
	attemptEnds *prometheus.CounterVec
	brittle     *prometheus.CounterVec
	limited     *prometheus.CounterVec
	badLoads    prometheus.Counter
	waits       *prometheus.CounterVec
	waitTime    *prometheus.HistogramVec
	unbuffered  prometheus.Counter
	stalled     prometheus.Counter
	zoneChoices *prometheus.CounterVec
	versions    *prometheus.CounterVec
	// refusedClients counts what the guards of the listeners refused or closed.
	refusedClients *prometheus.CounterVec

	blockedRecords *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	storeReasons   *prometheus.CounterVec
	storeDuration  *prometheus.HistogramVec
	stateFetches   *prometheus.HistogramVec
	routes         labelSet
	versionNames   labelSet // "SERVICE VERSION"
	// readReason is why this VM currently reads the store or not.
	readReason atomic.Pointer[relay.Reason]
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
// They range from the duration of a short call to the longest deadline.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 12}

// NewMetrics registers the metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_requests_total", Help: "Requests of callers by route and outcome.",
		}, []string{"route", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_first_byte_seconds", Help: "Time to the first byte of an answer by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_request_seconds", Help: "Time to the end of a request by outcome.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_attempts_total", Help: "Attempts at upstreams by model and fate.",
		}, []string{"model", "fate"}),
		bodyEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_response_ends_total", Help: "Responses of upstreams by how they mark the end of their body, and how they ended.",
		}, []string{"framing", "end"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_forwards_total", Help: "Requests forwarded to other VMs by result.",
		}, []string{"result"}),
		attemptEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_attempt_ends_total", Help: "Attempts at upstreams by what ended them.",
		}, []string{"cause"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_store_calls_total", Help: "Calls to the platform's store by operation and outcome.",
		}, []string{"operation", "outcome"}),
		storeReasons: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_store_calls_by_reason_total", Help: "Calls to the platform's store by why this VM read it.",
		}, []string{"reason"}),
		stateFetches: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_state_fetch_seconds", Help: "Fetches of another VM's copy of the store by outcome.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		storeDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_store_call_seconds", Help: "Time of calls to the platform's store by operation.", Buckets: latencyBuckets,
		}, []string{"operation"}),
		versions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_version_attempts_total", Help: "Attempts by service and version, and what they say of the version.",
		}, []string{"version", "says"}),
		brittle: newBrittleCounter(),
		limited: newLimitedCounter(),
		zoneChoices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_zone_choices_total", Help: "Attempts at upstreams of services that prefer the own zone, by what became of the preference.",
		}, []string{"choice"}),
		badLoads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pier_bad_load_reports_total", Help: "Responses of upstreams whose load report could not be parsed.",
		}),
		waits: newWaitsCounter(), waitTime: newWaitHistogram(),
		unbuffered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pier_unbuffered_responses_total", Help: "Responses of upstreams that were passed through as they arrived, because there was no room to buffer them.",
		}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pier_stalled_callers_total", Help: "Connections that were closed because their caller took nothing of its response.",
		}),

		blockedRecords: newBlockedRecordsCounter(),
		refusedClients: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_refused_clients_total", Help: "Requests and connections that a listener refused or closed for their header or number, by reason.",
		}, []string{"listener", "reason"}),

		routes: labelSet{maxValues: maxRouteLabels}, versionNames: labelSet{maxValues: maxVersionLabels},
	}
	m.Registry.MustRegister(m.requests, m.firstByte, m.duration, m.attempts, m.bodyEnds, m.attemptEnds, m.forwards, m.brittle, m.limited, m.badLoads, m.versions, m.blockedRecords, m.storeCalls, m.storeReasons, m.storeDuration, m.stateFetches, m.waits, m.waitTime, m.unbuffered, m.stalled, m.zoneChoices, m.refusedClients)
	return m
}

// registerGauges registers gauges for the current state of the VM.
func (m *Metrics) registerGauges(s *Proxy, f *Follower) {
	gauges := map[string]struct {
		help string
		read func() float64
	}{
		"pier_config_version":       {"Version of the configuration in force.", func() float64 { return float64(s.configVersion()) }},
		"pier_config_lag_seconds":   {"Time for which a newer configuration than the one in force has been known.", func() float64 { return f.lag.behindFor(time.Now()).Seconds() }},
		"pier_upstreams":            {"Upstreams that are listed.", func() float64 { return float64(s.fleet.Len()) }},
		"pier_known_vms":            {"Entry VMs that share the fleet-wide bounds.", func() float64 { return float64(s.fleet.VMCount()) }},
		"pier_isolated":             {"1 while no upstream is in reach.", s.isolation.gauge},
		"pier_unreachable_services": {"Services of which no upstream is in reach; their requests are forwarded.", func() float64 { return float64(len(s.forwarder.unreachableServices())) }},
		"pier_blocked_contents":     {"Contents of requests that crash upstreams and are not sent.", s.blockedContents},
		"pier_reads_store":          {"1 while this VM reads the store itself.", f.readsStoreGauge},
		"pier_store_age_seconds":    {"Age of the latest proof that nothing of the store is missing.", f.storeAgeGauge},
		"pier_waiting_requests":     {"Requests that wait for room at an upstream.", func() float64 { return float64(s.rooms.waiting.Load()) }},
		"pier_response_bytes":       {"Bytes of responses that are buffered.", s.responses.inUse},
		"pier_body_bytes":           {"Bytes that are held for requests' bodies and header sections.", s.bodies.inUse},
		"pier_header_bytes":         {"Part of pier_body_bytes for header sections.", s.bodies.headersInUse},
		"pier_limited_upstreams":    {"Upstreams that name a limit for all VMs together.", func() float64 { return float64(s.fleet.LimitedUpstreams()) }},
		"pier_work_time_reporters":  {"Upstreams that reported how long work takes there.", func() float64 { return float64(s.fleet.WorkTimeReporters()) }},
		"pier_brittle_services":     {"Services whose upstreams crash if they have to reject too many requests.", func() float64 { return float64(s.fleet.BrittleServices(time.Now())) }},
	}
	for name, g := range gauges {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: g.help}, g.read))
	}
	m.Registry.MustRegister(budgetCollector{s})
}

// budgetCollector exports the remaining retry budget of each service.
type budgetCollector struct{ s *Proxy }

var budgetDesc = prometheus.NewDesc("pier_retry_budget_left", "Repeats that are left to this VM by service.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (c budgetCollector) Describe(out chan<- *prometheus.Desc) { out <- budgetDesc }

// Collect implements prometheus.Collector.
func (c budgetCollector) Collect(out chan<- prometheus.Metric) {
	config := c.s.config.Load()
	if config == nil {
		return
	}
	n := 0
	for name := range config.Services {
		if n++; n > maxServiceLabels {
			return
		}
		out <- prometheus.MustNewConstMetric(budgetDesc, prometheus.GaugeValue, c.s.budget.Remaining(time.Now(), name), name)
	}
}

// registerOpenConns registers a gauge of a listener's open connections.
func (m *Metrics) registerOpenConns(listener string, open func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pier_open_connections", Help: "Open connections by listener.", ConstLabels: prometheus.Labels{"listener": listener},
	}, open))
}

// RegisterDroppedLogLines registers a counter of dropped log lines.
func (m *Metrics) RegisterDroppedLogLines(dropped func() uint64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "pier_log_lines_dropped_total", Help: "Log lines that the reader did not take in time.",
	}, func() float64 { return float64(dropped()) }))
}

func (m *Metrics) observeRequest(route, outcome string, firstByte, took time.Duration) {
	route = m.routes.labelFor(route)
	m.requests.WithLabelValues(route, outcome).Inc()
	m.duration.WithLabelValues(outcome).Observe(took.Seconds())
	if firstByte > 0 {
		m.firstByte.WithLabelValues(route).Observe(firstByte.Seconds())
	}
}

// countVersionOutcome counts what an attempt says of its upstream's version.
func (m *Metrics) countVersionOutcome(service, version string, conclusive, bad bool) {
	says := "nothing"
	switch {
	case conclusive && bad:
		says = "bad"
	case conclusive:
		says = "good"
	}
	m.versions.WithLabelValues(m.versionNames.labelFor(service+" "+version), says).Inc()
}

func (m *Metrics) countAttempt(a *attempt) {
	m.attempts.WithLabelValues(a.model, a.attemptStatus.String()).Inc()
	m.attemptEnds.WithLabelValues(string(a.endCause())).Inc()
	if a.pick.ZoneChoice != fleet.ZoneIgnored {
		m.zoneChoices.WithLabelValues(a.pick.ZoneChoice.String()).Inc()
	}
	if a.framing != "" {
		m.bodyEnds.WithLabelValues(string(a.framing), a.bodyEnd()).Inc()
	}
}

// observeStateFetch records a fetch of another VM's copy of the store.
func (m *Metrics) observeStateFetch(err error, took time.Duration) {
	outcome := "fetched"
	switch {
	case errors.Is(err, errPeerBusy):
		outcome = "busy"
	case err != nil:
		outcome = "failed"
	}
	m.stateFetches.WithLabelValues(outcome).Observe(took.Seconds())
}

// ObserveStoreCall records a call to the platform's store.
func (m *Metrics) ObserveStoreCall(operation, outcome string, took time.Duration) {
	m.storeCalls.WithLabelValues(operation, outcome).Inc()
	if reason := m.readReason.Load(); reason != nil {
		m.storeReasons.WithLabelValues(string(*reason)).Inc()
	}
	if operation != "watch" { // the duration of a watch is mostly its wait
		m.storeDuration.WithLabelValues(operation).Observe(took.Seconds())
	}
}
