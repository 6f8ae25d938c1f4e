package eventer

// Events of answer records and security, 6000 to 6999.
var (
	RecordDelayed         = define(6001, Warning, "answer records wait because no control host stored them")
	RecordUnderReplicated = define(6002, Warning, "answer records are stored on fewer control hosts than configured")
)
