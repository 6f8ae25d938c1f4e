package eventer

// Events of the query path, 1000 to 1999.
var (
	QueryRefused     = define(1001, Info, "query refused")
	ReplyMismatched  = define(1002, Warning, "reply does not match its call and was dropped")
	AnnounceRejected = define(1003, Warning, "announcement rejected")
	InvariantBroken  = define(1004, Error, "an invariant of a query is broken")
)
