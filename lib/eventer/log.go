package eventer

// Events of the replicated log, 4000 to 4999.
var (
	LogOpened         = define(4001, Info, "replicated log opened")
	LogTailTruncated  = define(4002, Warning, "torn tail of the log truncated")
	LogFailed         = define(4003, Error, "the log cannot be written; the host acknowledges nothing")
	LogInvariant      = define(4004, Error, "invariant of the replicated log violated")
	LeaderElected     = define(4005, Info, "this host leads the control group")
	LeaderLost        = define(4006, Warning, "this host no longer leads the control group")
	MembersChanged    = define(4007, Info, "members of the control group changed")
	GroupBootstrapped = define(4008, Info, "control group bootstrapped")
	SnapshotTaken     = define(4009, Info, "snapshot taken and log compacted")
	SnapshotReceived  = define(4010, Info, "snapshot received from the leader")
	LogReopenFailed   = define(4012, Warning, "the log cannot be opened again after a failed write")
	WaitingForGroup   = define(4011, Warning, "empty data folder: waiting for the control group")
)
