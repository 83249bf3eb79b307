package caller

// The paths that callers use.
const (
	PathRouters         = "/v1/routers"
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathServices        = "/services/"
)

// The headers that the system reads or sets.
const (
	// HeaderIdempotencyKey identifies a request, so that sending it again does
	// not run it again. It is required for requests that are not idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstSend is "true" if the caller has never sent a request with the
	// same idempotency key before and has no other one in flight. Only then does
	// a refusal by a router that has not claimed the key prove that the request
	// did not run.
	HeaderFirstSend = "X-First-Send"
	// HeaderDeadline is the instant, in RFC 3339 form, after which the caller no
	// longer needs the answer.
	HeaderDeadline = "X-Deadline"
	// HeaderRequestID identifies one request in the logs.
	HeaderRequestID = "X-Request-ID"
	// HeaderParentRequestID is the request ID of the call on whose behalf a
	// nested call is made. A plain service receives it with the deadline and the
	// urgency, and forwards all three when it calls another service.
	HeaderParentRequestID = "X-Parent-Request-ID"
	// HeaderUrgency is the urgency that a nested call inherits. It orders
	// requests only within one organisation, so a false value gains nothing over
	// other organisations.
	HeaderUrgency = "X-Urgency"
	// HeaderService names the service of a model call if several services offer
	// the model.
	HeaderService = "X-Service"
)
