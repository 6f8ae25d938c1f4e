package eventer

// Events of leaf ownership and calls to leaves, 2000 to 2999.
var (
	LeaseAcquired          = define(2001, Info, "lease on a leaf acquired")
	LeaseEnded             = define(2002, Info, "lease on a leaf ended")
	LeaseDisagreed         = define(2003, Warning, "lease refused because the granters of the cell disagree")
	LeafAllowanceReduced   = define(2004, Warning, "allowance of a leaf reduced")
	LeafAllowanceFull      = define(2005, Info, "leaf has its full allowance")
	LeafCrashed            = define(2006, Warning, "backend server crashed with calls in flight")
	LeafMismatched         = define(2007, Warning, "reply of a leaf does not match its call and was dropped")
	LeafConnectionTimedOut = define(2008, Warning, "connection to a leaf stopped answering and was replaced")
	LeaseReleaseFailed     = define(2009, Error, "leases were not released before the stop")
)
