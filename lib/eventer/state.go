package eventer

// Events of the configuration and the at-most-once ledger, 5000 to 5999.
var (
	PatchAccepted   = define(5001, Info, "patch accepted")
	PatchRefused    = define(5002, Warning, "patch refused")
	PatchUndecided  = define(5003, Warning, "patch not decided")
	BeginFailed     = define(5004, Warning, "begin not decided")
	FinishFailed    = define(5005, Warning, "outcome not stored")
	MemberRequested = define(5006, Info, "operator changed the control members")

	DocumentDecided     = define(5007, Info, "configuration document decided")
	DocumentUndecided   = define(5008, Warning, "configuration document not decided")
	DocumentRefused     = define(5009, Warning, "configuration document refused")
	EvacuationDecided   = define(5010, Info, "evacuation of a data centre decided")
	EvacuationUndecided = define(5011, Warning, "evacuation of a data centre not decided")
	DepartureDecided    = define(5012, Info, "departure of a leaf recorded")
	DepartureUndecided  = define(5013, Warning, "departure of a leaf not recorded")
	EvacuationRefused   = define(5014, Warning, "evacuation of a data centre refused")

	QuotasInForce       = define(5020, Info, "quotas of tenants are in force")
	QuotasUnreadable    = define(5021, Error, "quotas of tenants cannot be read")
	CoordinatorSilent   = define(5022, Warning, "no coordinator of quotas answers")
	CoordinatorAnswered = define(5023, Info, "a coordinator of quotas answers")
)
