package logger

// The events of claims and quarantine.
var (
	ClaimsLogged     = Event{number: 410, level: LevelInfo, name: "claims-logged", meaning: "Claims of idempotency keys are written to the log."}
	ClaimsInMemory   = Event{number: 411, level: LevelWarn, name: "claims-in-memory", meaning: "Claims cannot be written to the log; the holder and the sender of a claim keep it in memory until they can."}
	ClaimsIncomplete = Event{number: 412, level: LevelWarn, name: "claims-incomplete", meaning: "A new holder could not recover all claims of a range; it refuses claims in the range until it can."}
	ClaimsUnreadable = Event{number: 413, level: LevelAlarm, name: "claims-unreadable", meaning: "A record of the claims stream could not be decoded, or claims could not be encoded; these claims are not known to this VM or not in the log."}
	Quarantined      = Event{number: 510, level: LevelAlarm, name: "quarantined", meaning: "Targets crashed twice while they ran the same request, which is refused for a limited time; find out what it contains."}

	QuarantineLearned   = Event{number: 513, level: LevelInfo, name: "quarantine-learned", meaning: "Another VM reported a request in quarantine that this VM did not know of, and this VM refuses it too."}
	QuarantineWithdrawn = Event{number: 514, level: LevelInfo, name: "quarantine-withdrawn", meaning: "Another VM reported that a target responded to a request between the crashes for which this VM had it in quarantine; it is served again."}
)
