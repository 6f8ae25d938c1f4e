package quoter

import "time"

// Request is what an entry host asks of the coordinator.
type Request struct {
	// Epoch is the epoch of the tokens that are settled.
	Epoch uint64
	Asks  []Ask
}

// Ask is the part of a request that concerns one tenant.
type Ask struct {
	Tenant string
	// Wanted is the number of tokens for requests that wait, and Stock the number of further tokens for the stock.
	Wanted, Stock int
	Settlements   []Settlement
}

// Settlement states what became of the tokens of one response.
type Settlement struct {
	// Stamp is that of the response.
	Stamp uint64
	// Used and Unused are tokens that left the stock: for a request, or because they are not needed.
	Used, Unused int
	// Unrun are tokens that were counted as used, whose requests have not run.
	Unrun int
	// Renew asks to prolong the validity of the tokens that are left in stock.
	Renew bool
}

// Response is the coordinator's answer.
type Response struct {
	// Epoch is the term of the leader, and Stamp identifies the response within it.
	Epoch, Stamp uint64
	// Validity is how long tokens in stock may be used, counted from the sending of the request.
	Validity time.Duration
	// Grants has one entry for each ask.
	Grants []Grant
}

// Grant is the answer to one ask.
type Grant struct {
	Tenant string
	// Tokens may be used within UseWithin after the sending of the request, and Stock within the response's validity.
	Tokens, Stock int
	// Renewed is true when the tokens whose renewal was asked for are valid for as long again.
	Renewed bool
	// Retry is the time after which a token is expected for the first request that got none; each further one has to wait for
	// Step longer.
	Retry, Step time.Duration
	// Unlimited is true when the tenant has no quota, and Unknown when the configuration in force does not have it.
	Unlimited, Unknown bool
}
