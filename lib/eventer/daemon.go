package eventer

// Events common to all daemons, 9000 to 9999.
var (
	Started            = define(9001, Info, "daemon started")
	Draining           = define(9002, Info, "graceful stop began")
	Stopped            = define(9003, Info, "daemon stopped")
	ServeFailed        = define(9004, Error, "server failed")
	VersionActivated   = define(9005, Info, "configuration version activated")
	ControlUnreachable = define(9006, Warning, "control hosts cannot be reached")
)
