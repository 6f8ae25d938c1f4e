package eventer

// Events of the query path, 1000 to 1999.
var (
	QueryRefused         = define(1001, Info, "query refused")
	ReplyMismatched      = define(1002, Warning, "reply does not match its call and was dropped")
	AnnounceRejected     = define(1003, Warning, "announcement rejected")
	InvariantBroken      = define(1004, Error, "invariant of a query violated")
	RequestSuspected     = define(1005, Warning, "request was in flight on a backend server that crashed")
	SuspectCleared       = define(1006, Info, "suspected request was answered without harm")
	SuspectReportFailed  = define(1007, Warning, "report of a suspected request did not reach a host")
	TraceWritten         = define(1008, Info, "trace of a query was written")
	TraceFailed          = define(1009, Warning, "trace of a query could not be written")
	RequestEnded         = definePerRequest(1010, Info, "request answered")
	RequestFailed        = definePerRequest(1011, Warning, "request not answered")
	CallFailed           = definePerRequest(1012, Info, "leaf call failed")
	PortionEnded         = definePerRequest(1013, Info, "portion of a query gathered")
	RequestBlocked       = define(1015, Warning, "requests with this fingerprint are refused: they crash the leaves that run them")
	RequestsUnauthorized = define(1020, Info, "requests without a known key refused")
	HeaderRefused        = define(1021, Info, "request refused while its header was received")
	RequestExplained     = define(1045, Info, "request explained to an operator, not sent")
	RequestRejected      = definePerRequest(1030, Info, "request not admitted")
	PortionFailed        = definePerRequest(1014, Warning, "portion of a query was not gathered by the chosen host")
)
