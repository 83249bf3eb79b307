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
	// HeaderFirstSend is "true" if the caller has not sent the request before,
	// nor is sending another one with the same key. Only then does a refusal
	// before a claim prove that the request did not run.
	HeaderFirstSend = "X-First-Send"
	// HeaderDeadline is the instant, in RFC 3339 form, after which the caller no
	// longer needs the answer.
	HeaderDeadline = "X-Deadline"
	// HeaderRequestID identifies one request in the logs.
	HeaderRequestID = "X-Request-ID"
	// HeaderParent is the request ID of the call on whose behalf a nested call
	// is made. A plain service receives it with the deadline and the urgency,
	// and forwards all three when it calls another service.
	HeaderParentRequestID = "X-Parent-Request-ID"
	// HeaderUrgency is the urgency that a nested call inherits. It orders
	// requests only within one organisation, so a false value gains nothing over
	// other organisations.
	HeaderUrgency = "X-Urgency"
	// HeaderService names the service of a model call if several services offer
	// the model.
	HeaderService = "X-Service"
)
