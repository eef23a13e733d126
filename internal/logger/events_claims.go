package logger

// The events of claims and quarantine.
var (
	ClaimsLogged     = Event{number: 410, level: LevelInfo, name: "claims-logged", meaning: "Claims of idempotency keys go to the log."}
	ClaimsInMemory   = Event{number: 411, level: LevelWarn, name: "claims-in-memory", meaning: "The log does not take claims; holder and sender keep them in memory until it does."}
	ClaimsIncomplete = Event{number: 412, level: LevelWarn, name: "claims-incomplete", meaning: "A new holder cannot know all claims of a range and refuses them until it can."}
	ClaimsUnreadable = Event{number: 413, level: LevelAlarm, name: "claims-unreadable", meaning: "A record of the claims stream cannot be read; its claims are not known to this VM."}
	Quarantined      = Event{number: 510, level: LevelAlarm, name: "quarantined", meaning: "A request ended two targets and is refused for a while; find out what is in it."}
)
