package logger

// Event is a kind of log line. The meaning of a number never changes.
type Event struct {
	number  int
	level   Level
	name    string
	meaning string
}

// Number returns the number, which is the same in every version.
func (e Event) Number() int { return e.number }

// Level returns the level.
func (e Event) Level() Level { return e.level }

// Name returns the short name.
func (e Event) Name() string { return e.name }

// Meaning returns a description of the event for operators.
func (e Event) Meaning() string { return e.meaning }

// The events. The hundreds of a number tell the subject. 1xx: process; 2xx: configuration;
// 3xx: membership; 4xx: claims; 5xx: targets and quarantine; 6xx: requests.
var (
	Started             = Event{number: 100, level: LevelInfo, name: "started", meaning: "The process listens on all its addresses."}
	Stopping            = Event{number: 101, level: LevelInfo, name: "stopping", meaning: "A graceful stop began; the VM is no longer ready and finishes the requests in flight."}
	Stopped             = Event{number: 102, level: LevelInfo, name: "stopped", meaning: "The process ended after a graceful stop with every request answered."}
	Failed              = Event{number: 103, level: LevelAlarm, name: "failed", meaning: "A component of the process failed, and the process ends."}
	SettingsRead        = Event{number: 104, level: LevelInfo, name: "settings-read", meaning: "The settings file was read again; changed settings take effect at the next start of the process."}
	SettingsRefused     = Event{number: 105, level: LevelWarn, name: "settings-refused", meaning: "The settings file was read again and is not valid; the process keeps its current settings."}
	ChangeApplied       = Event{number: 200, level: LevelInfo, name: "change-applied", meaning: "A published change is in force on this VM."}
	ChangeSkipped       = Event{number: 201, level: LevelWarn, name: "change-skipped", meaning: "A record of the configuration stream is not valid or conflicts with an earlier change; every VM skips it."}
	LogUnavailable      = Event{number: 202, level: LevelWarn, name: "log-unavailable", meaning: "The log cannot be read; the VM keeps the state it has."}
	LogAvailable        = Event{number: 203, level: LevelInfo, name: "log-available", meaning: "The log can be read again."}
	StateRestored       = Event{number: 204, level: LevelInfo, name: "state-restored", meaning: "The VM loaded a snapshot of the configuration, from a peer or from the log."}
	KeysStale           = Event{number: 205, level: LevelAlarm, name: "keys-stale", meaning: "Neither the log nor a majority of the VMs confirms that this VM's configuration is current; keys may have been withdrawn, and the VM refuses requests that need a key."}
	KeysFresh           = Event{number: 206, level: LevelInfo, name: "keys-fresh", meaning: "The VM has confirmed again that its configuration is current."}
	LogBehind           = Event{number: 207, level: LevelAlarm, name: "log-behind", meaning: "The log ends before records that this VM has applied; the VM keeps its newer state."}
	SnapshotMissing     = Event{number: 208, level: LevelAlarm, name: "snapshot-missing", meaning: "Records that the VM needs have expired and the log holds no complete snapshot; the VM waits for a peer."}
	SnapshotWritten     = Event{number: 209, level: LevelInfo, name: "snapshot-written", meaning: "This VM appended a complete snapshot of the configuration to the log."}
	SnapshotFailed      = Event{number: 210, level: LevelWarn, name: "snapshot-failed", meaning: "A snapshot could not be appended to the log; the VM that is responsible for snapshots tries again."}
	StoreLost           = Event{number: 211, level: LevelWarn, name: "store-lost", meaning: "Reads of a topic of the platform's store fail; the VM keeps the data it has. Logged again every five seconds, as the cause may change."}
	StoreRegained       = Event{number: 212, level: LevelInfo, name: "store-regained", meaning: "Reads of the topic of the platform's store succeed again."}
	ConfigTaken         = Event{number: 213, level: LevelInfo, name: "config-taken", meaning: "A configuration from the store is in force on this VM."}
	ConfigSkipped       = Event{number: 214, level: LevelWarn, name: "config-skipped", meaning: "A configuration from the store is not valid or is older than the one in force, which stays in force."}
	StoreReturned       = Event{number: 215, level: LevelWarn, name: "store-returned", meaning: "The platform's store came back from an older copy of its records, which may lack some that this VM has read; the VM has loaded the topic again, and does so once more when the writers have had time to write them again."}
	ListUnavailable     = Event{number: 300, level: LevelWarn, name: "list-unavailable", meaning: "The platform's VM list could not be read; the VM keeps the last one."}
	EpochBegan          = Event{number: 301, level: LevelInfo, name: "epoch-began", meaning: "A new epoch began because the membership changed or was renewed; holders wait until older leases have expired where these may still be valid."}
	MemberRecordSkipped = Event{number: 302, level: LevelInfo, name: "member-record-skipped", meaning: "A record of the members stream is not valid or conflicts with an earlier record; every VM skips it."}
	ProposalFailed      = Event{number: 303, level: LevelWarn, name: "proposal-failed", meaning: "A record that adds or removes a member or renews the epoch could not be appended; the VM tries again."}
	ReportSkipped       = Event{number: 304, level: LevelWarn, name: "report-skipped", meaning: "A report from another VM could not be decoded and was ignored."}
	AnnounceFailed      = Event{number: 305, level: LevelWarn, name: "announce-failed", meaning: "The VM could not write its address to the platform's store; it tries again."}
	PeerHeard           = Event{number: 306, level: LevelInfo, name: "peer-heard", meaning: "Reports from other VMs arrive, for the first time or again."}
	PeerLost            = Event{number: 307, level: LevelWarn, name: "peer-lost", meaning: "Reports from other VMs have not arrived for some time; their share of the limits stays reserved for them."}
	AnnouncedAgain      = Event{number: 308, level: LevelWarn, name: "announced-again", meaning: "The VM list of the platform's store lacked this VM after the store had come back from an older copy, and the VM announced itself again."}
	Panicked            = Event{number: 107, level: LevelAlarm, name: "panicked", meaning: "The code panicked on a request, a report or a record, which was dropped; the process goes on. Report the stack that the error holds."}
	LinesDropped        = Event{number: 106, level: LevelWarn, name: "lines-dropped", meaning: "Log lines were dropped because standard output did not take them in time or returned an error; count is the number of lines dropped since the start."}
	TargetEjected       = Event{number: 500, level: LevelWarn, name: "target-ejected", meaning: "A target gets trial requests only; scope path means that this holds for this VM alone."}
	TargetReduced       = Event{number: 501, level: LevelInfo, name: "target-reduced", meaning: "A target gets only a part of its usual requests."}
	TargetReturned      = Event{number: 502, level: LevelInfo, name: "target-returned", meaning: "A target gets all its usual requests again, after a warm-up if it was ejected."}
	TargetListed        = Event{number: 504, level: LevelInfo, name: "target-listed", meaning: "The store lists a new or restarted target, which can get requests."}
	TargetGone          = Event{number: 505, level: LevelInfo, name: "target-gone", meaning: "The store no longer lists a target, or lists it as draining, or the target stated that it is about to stop; it gets no new requests."}
	TargetSkipped       = Event{number: 506, level: LevelWarn, name: "target-skipped", meaning: "An entry of the store's target list is not valid and is ignored; the other entries stay in use."}
	TargetSuspected     = Event{number: 507, level: LevelWarn, name: "target-suspected", meaning: "The evidence of the fleet indicates that the target probably fails; it gets requests only where no better target is left."}
	TargetTrusted       = Event{number: 508, level: LevelInfo, name: "target-trusted", meaning: "The evidence of the fleet indicates that the target probably works."}
	EvacuationBegan     = Event{number: 511, level: LevelInfo, name: "evacuation-began", meaning: "An operator has evacuated the data centre; its targets get no new requests from this VM."}
	EvacuationEnded     = Event{number: 512, level: LevelInfo, name: "evacuation-ended", meaning: "The evacuation of the data centre has ended; its targets may get requests again. The offset is that of the last record about it."}
	TargetLeaving       = Event{number: 503, level: LevelInfo, name: "target-leaving", meaning: "A target is draining and gets no new requests."}
)

// Events of requests.
var (
	RequestServed   = Event{number: 600, level: LevelInfo, name: "request-served", meaning: "A target answered at the first attempt; one request in sixteen is logged."}
	RequestRepeated = Event{number: 601, level: LevelInfo, name: "request-repeated", meaning: "A target answered after earlier attempts failed, or one of two that ran at once."}
	RequestFailed   = Event{number: 602, level: LevelWarn, name: "request-failed", meaning: "A target's response with a failure status was passed to the caller; stopped tells why the request was not retried."}
	RequestRefused  = Event{number: 603, level: LevelWarn, name: "request-refused", meaning: "The VM refused the request instead of passing on a target's response; code, outcome, reason and basis tell why."}
	RequestLeft     = Event{number: 604, level: LevelInfo, name: "request-left", meaning: "The caller closed its connection before it got the response."}
)

// Events returns every event in ascending order of the numbers.
func Events() []Event {
	return []Event{
		Started, Stopping, Stopped, Failed, SettingsRead, SettingsRefused, LinesDropped, Panicked,
		ChangeApplied, ChangeSkipped, LogUnavailable, LogAvailable, StateRestored, KeysStale,
		KeysFresh, LogBehind, SnapshotMissing, SnapshotWritten, SnapshotFailed,
		StoreLost, StoreRegained, ConfigTaken, ConfigSkipped, StoreReturned,
		ListUnavailable, EpochBegan, MemberRecordSkipped, ProposalFailed, ReportSkipped, AnnounceFailed, PeerHeard, PeerLost, AnnouncedAgain,
		ClaimsLogged, ClaimsInMemory, ClaimsIncomplete, ClaimsUnreadable,
		TargetEjected, TargetReduced, TargetReturned, TargetLeaving,
		TargetListed, TargetGone, TargetSkipped, TargetSuspected, TargetTrusted,
		Quarantined, EvacuationBegan, EvacuationEnded, QuarantineLearned, QuarantineWithdrawn,
		RequestServed, RequestRepeated, RequestFailed, RequestRefused, RequestLeft,
	}
}
