package caller

// The paths under which the system is called.
const (
	PathRouters         = "/v1/routers"
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathServices        = "/services/"
)

// The headers that the system reads or sets.
const (
	// HeaderIdempotencyKey names a request, so that sending it again does not
	// run it again. It is required for requests that are not idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstSend is "true" on the first send of a request, while no other
	// send with its key is under way. Only then can a refusal without a claim
	// prove that the request did not run.
	HeaderFirstSend = "X-First-Send"
	// HeaderDeadline is the instant, in RFC 3339 form, after which the caller
	// has no use for the answer.
	HeaderDeadline = "X-Deadline"
	// HeaderRequestID names one request in the logs.
	HeaderRequestID = "X-Request-ID"
	// HeaderParent is the request id of the call that a nested call serves. A
	// plain service finds it in what it is sent, with the deadline and the
	// urgency, and passes the three on when it calls another service.
	HeaderParent = "X-Parent-Request-ID"
	// HeaderUrgency is the urgency that a nested call inherits. It orders
	// requests within one organisation only, so nobody gains by a false one.
	HeaderUrgency = "X-Urgency"
	// HeaderService names the service of a model call when several services
	// offer the model.
	HeaderService = "X-Service"
)
