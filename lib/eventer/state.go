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
	KeysChanged         = define(5024, Info, "API keys of tenants changed")
	EvacuationRefused   = define(5014, Warning, "evacuation of a data centre refused")

	RolloutOrdered   = define(5015, Info, "rollout ordered")
	RolloutUndecided = define(5016, Warning, "order of a rollout not decided")
	RolloutRefused   = define(5017, Warning, "order of a rollout refused")
	RolloutStepped   = define(5018, Info, "share of a rollout changed")
	RolloutEnded     = define(5019, Info, "rollout ended")
	RolloutStepLost  = define(5020, Warning, "step of a rollout not recorded")
	BaselineSet      = define(5021, Info, "version in use of a service recorded")
	RolloutInUse     = define(5022, Info, "rollout in use on this host has changed")
	CountsFailed     = define(5023, Warning, "counts of a rollout were not delivered")
)
