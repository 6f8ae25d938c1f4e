package eventer

// Events of membership and dissemination, 3000 to 3999.
var (
	HostSuspect      = define(3001, Warning, "host does not answer probes")
	HostDead         = define(3002, Warning, "host is dead")
	HostLeft         = define(3003, Info, "host left gracefully")
	HostAlive        = define(3004, Info, "host is alive")
	StartedFromPeers = define(3005, Warning, "configuration taken from other hosts because control cannot be reached")
	VersionRejected  = define(3006, Error, "configuration version cannot be applied")
	RemovalSet       = define(3007, Warning, "data centre removed locally")
	RemovalLifted    = define(3008, Info, "local removal of the data centre lifted")
	PushFailed       = define(3009, Warning, "version not in force on every host of a cell")
	StopForced       = define(3010, Warning, "graceful stop cut short")
	EvacuationInUse  = define(3011, Info, "evacuated data centres changed")
	LeafLeaving      = define(3012, Info, "leaf leaves and gets nothing more")
	LeafKnown        = define(3013, Info, "leaf is new or has changed")
	LeafForgotten    = define(3014, Info, "leaf was not heard and was dropped")
	ControlFollowed  = define(3015, Info, "control host is followed")
	ControlLost      = define(3016, Warning, "control host is not followed any more")
	FollowerJoined   = define(3017, Info, "host follows this control host")
	FollowerLeft     = define(3018, Info, "host follows this control host no more")
	LeafContradicted = define(3019, Warning, "heartbeat contradicts the leaf's earlier ones and was ignored")
)
