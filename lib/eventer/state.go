package eventer

// Events of the configuration and of the at-most-once ledger, 5000 to 5999.
var (
	PatchAccepted   = define(5001, Info, "patch accepted")
	PatchRefused    = define(5002, Warning, "patch refused")
	PatchUndecided  = define(5003, Warning, "patch not decided")
	BeginFailed     = define(5004, Warning, "begin not decided")
	FinishFailed    = define(5005, Warning, "outcome not stored")
	MemberRequested = define(5006, Info, "operator changed the control members")
)
