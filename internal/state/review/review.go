package review

import (
	"fmt"
	"net/netip"
	"strings"
)

// Severity ranks a problem.
type Severity string

// An Error is an entry that can't work as stated, and a Warning one that is unusual.
const (
	Error   Severity = "Error"
	Warning Severity = "Warning"
)

// Problem is one finding.
type Problem struct {
	Severity Severity
	// Rule names the check that found the problem.
	Rule string
	// Subject is the entry concerned.
	Subject string
	Detail  string
}

// Report is the result of a review.
type Report struct {
	Problems []Problem
	// Changes are the differences from the version in force; nil without one.
	Changes []Change
}

// Errors returns the number of problems that are errors.
func (r *Report) Errors() int { return r.count(Error) }

// Warnings returns the number of problems that are warnings.
func (r *Report) Warnings() int { return r.count(Warning) }

func (r *Report) count(s Severity) int {
	n := 0
	for i := range r.Problems {
		if r.Problems[i].Severity == s {
			n++
		}
	}
	return n
}

// Add adds a problem.
func (r *Report) Add(s Severity, rule, subject, format string, args ...any) {
	r.Problems = append(r.Problems, Problem{s, rule, subject, fmt.Sprintf(format, args...)})
}

// check adds a problem unless the condition holds.
func (r *Report) check(ok bool, s Severity, rule, subject, format string, args ...any) {
	if !ok {
		r.Add(s, rule, subject, format, args...)
	}
}

// Review examines a document and, if inForce is not nil, what differs from that.
func Review(d, inForce *Document) *Report {
	r := &Report{}
	r.reviewRoutes(d)
	r.reviewServices(d)
	r.reviewOrganisations(d)
	r.check(d.HeaderBytes >= 0 && d.BodyBytes >= 0 && d.TokensPerSecond >= 0, Error, "NegativeLimit", "limits", "a limit is negative")
	r.check(d.BodyBytes != 0, Warning, "ZeroLimit", "limits", "no limit for bodies is stated; the routers' default applies")
	if inForce != nil {
		r.check(d.Version > inForce.Version, Error, "VersionNotNewer", "version", "%d is not above %d, which is in force: routers ignore it", d.Version, inForce.Version)
		r.compare(inForce, d)
	}
	return r
}

func (r *Report) reviewRoutes(d *Document) {
	services := map[string]*Service{}
	for i := range d.Services {
		services[d.Services[i].Name] = &d.Services[i]
	}
	first := map[string]string{}
	r.check(len(d.Routes) > 0, Error, "NoRoutes", "routes", "there is no route: every request is answered with status 404")
	for i := range d.Routes {
		route := &d.Routes[i]
		subject := route.subject()
		if other, shadowed := first[route.key()]; shadowed {
			r.Add(Error, "RouteShadowed", subject, "never matches: %s stands before it with the same host and prefix", other)
		} else {
			first[route.key()] = subject
		}
		r.reviewMatch(route, subject)
		r.reviewTargets(route, subject, services)
		r.reviewTimes(route, subject)
		r.check(route.KnownType, Error, "UnknownType", subject, "type %q is unknown; routers treat the requests as not idempotent", route.Type)
		r.check(route.MaxAttempts >= 0, Error, "MaxAttempts", subject, "%d attempts are stated; routers make one", route.MaxAttempts)
		r.check(route.MaxAttempts != 0, Warning, "MaxAttempts", subject, "no number of attempts is stated, or 0; routers make one")
		r.check(route.Stream || !route.Resumable, Warning, "NotAStream", subject, "is resumable and no stream; that has no effect")
		r.check(!route.Resumable || !route.Stream || route.MaxAttempts != 1, Warning, "NoContinuation", subject, "is resumable, and one attempt is permitted: a stream that breaks off is not continued")
	}
}

// reviewMatch checks the host and the prefix. Routers compare both as they are; the port
// of a request's host is removed before.
func (r *Report) reviewMatch(route *Route, subject string) {
	host := route.Host
	_, notIP := netip.ParseAddr(strings.Trim(host, "[]"))
	port := strings.Contains(host, ":") && notIP != nil
	r.check(host != "" && !port && !strings.ContainsAny(host, "/ \t"), Error, "HostNeverMatches", subject, "no request has the host %q: hosts are matched without a port", host)
	r.check(host == strings.ToLower(host), Warning, "HostInCapitals", subject, "the host is matched in this case only, and callers usually send it in lower case")
	switch prefix := route.PathPrefix; {
	case !strings.HasPrefix(prefix, "/"):
		r.Add(Error, "PrefixNeverMatches", subject, "paths begin with a slash")
	case strings.ContainsAny(prefix, "?#"):
		r.Add(Error, "PrefixNeverMatches", subject, "paths are matched without their query")
	case !strings.HasSuffix(prefix, "/"):
		r.Add(Warning, "PrefixWithoutSlash", subject, "the prefix does not end with a slash, and so matches %s2 as well", prefix)
	}
}

func (r *Report) reviewTargets(route *Route, subject string, services map[string]*Service) {
	r.check(len(route.Targets) > 0, Error, "NoService", subject, "leads to no service")
	total := 0.0
	seen := map[string]bool{}
	for _, t := range route.Targets {
		total += t.Weight
		s := services[t.Service]
		r.check(!seen[t.Service], Warning, "SplitTwice", subject, "names service %q twice", t.Service)
		seen[t.Service] = true
		r.check(t.Weight >= 0, Error, "SplitWeight", subject, "service %q has the weight %v", t.Service, t.Weight)
		r.check(t.Weight != 0, Warning, "SplitWeight", subject, "service %q has the weight 0 and gets no request", t.Service)
		r.check(s != nil, Warning, "ServiceUndescribed", subject, "leads to service %q, which is not described; routers treat it as a plain one", t.Service)
		r.check(s == nil || !route.HasPrompt || s.Engine, Warning, "PromptWithoutEngine", subject, "has prompts, and service %q describes no engine", t.Service)
	}
	r.check(len(route.Targets) == 0 || total > 0, Error, "SplitWeight", subject, "the weights add up to %v", total)
}

func (r *Report) reviewTimes(route *Route, subject string) {
	r.check(route.Timeout >= 0 && route.Objective >= 0 && route.MaxPause >= 0, Error, "NegativeTime", subject,
		"the timeout is %v, the objective %v and the pause %v", route.Timeout, route.Objective, route.MaxPause)
	r.check(route.Timeout != 0, Warning, "ZeroTimeout", subject, "no timeout is stated; only the caller's deadline applies")
	r.check(route.Objective != 0, Warning, "ZeroObjective", subject, "no objective is stated; routers assume their default")
	if route.Timeout > 0 {
		r.check(route.Objective <= route.Timeout, Error, "TimeoutBelowObjective", subject, "ends after %v, before its objective of %v", route.Timeout, route.Objective)
		r.check(route.MaxPause <= route.Timeout, Error, "TimeoutBelowPause", subject, "ends after %v, and permits a pause of %v between events", route.Timeout, route.MaxPause)
	}
	r.check(route.Stream || route.MaxPause == 0, Warning, "NotAStream", subject, "states a pause between events and is no stream; that has no effect")
}

func (r *Report) reviewServices(d *Document) {
	routed := map[string]bool{}
	for i := range d.Routes {
		for _, t := range d.Routes[i].Targets {
			routed[t.Service] = true
		}
	}
	seen := map[string]bool{}
	engines := false
	for i := range d.Services {
		s := &d.Services[i]
		subject := fmt.Sprintf("service %q", s.Name)
		engines = engines || s.Engine
		r.check(s.Name != "", Error, "NoName", subject, "has no name")
		r.check(!seen[s.Name], Error, "ServiceTwice", subject, "is described twice; the last description counts")
		seen[s.Name] = true
		r.check(routed[s.Name], Warning, "ServiceWithoutRoute", subject, "no route leads to it")
		r.check(s.MaxConnections >= 0, Error, "NegativeLimit", subject, "permits %d connections", s.MaxConnections)
		r.check(s.MaxConnections != 0, Warning, "ZeroLimit", subject, "no number of connections is stated, or 0")
		r.reviewCold(s, subject)
		if !s.Engine {
			continue
		}
		r.check(s.Slots > 0, Error, "ZeroLimit", subject, "its engines have %d slots", s.Slots)
		r.check(s.MemoryTokens >= 0 && s.TokensPerEvent >= 0, Error, "NegativeLimit", subject, "its engines have %d tokens of memory, and %v tokens in an event", s.MemoryTokens, s.TokensPerEvent)
		r.check(s.MemoryTokens != 0, Warning, "ZeroLimit", subject, "no memory of its engines is stated")
		r.check(s.MaxConnections <= 0 || s.MaxConnections >= s.Slots, Warning, "ConnectionsBelowSlots", subject, "an engine has %d slots and accepts %d connections", s.Slots, s.MaxConnections)
	}
	r.check(!engines || d.TokensPerSecond != 0, Warning, "ZeroLimit", "limits", "no throughput of the engines is stated; fair shares then bind nobody")
}

func (r *Report) reviewCold(s *Service, subject string) {
	if s.ColdUnreadable {
		r.Add(Error, "ColdUnreadable", subject, "states a rate or a time of cold endpoints that is no number; routers ignore it")
		return
	}
	r.check(s.ColdPerSecond >= 0 && s.ColdStart >= 0, Error, "NegativeLimit", subject, "cold endpoints accept %v requests a second for %v", s.ColdPerSecond, s.ColdStart)
	r.check(s.ColdPerSecond <= 0 || s.ColdStart > 0, Error, "ColdTime", subject, "states the rate of cold endpoints, and not how long they are cold")
	r.check(s.ColdStart <= 0 || s.ColdPerSecond > 0, Error, "ColdRate", subject, "states how long endpoints are cold, and not their rate")
}

func (r *Report) reviewOrganisations(d *Document) {
	needKey := 0
	for i := range d.Routes {
		if !d.Routes[i].Anonymous {
			needKey++
		}
	}
	if d.Keyless {
		r.check(needKey == 0, Warning, "NoKeys", "organisations", "none are stated: %d routes that are not anonymous serve requests without a key", needKey)
		return
	}
	r.check(needKey == 0 || len(d.Organisations) > 0, Error, "NoKeys", "organisations", "the list is empty: %d routes refuse every request", needKey)
	seen, owner := map[string]bool{}, map[string]string{}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		subject := fmt.Sprintf("organisation %q", o.Name)
		r.check(!seen[o.Name], Error, "OrganisationTwice", subject, "stands there twice")
		seen[o.Name] = true
		r.check(len(o.Keys) > 0, Warning, "OrganisationWithoutKeys", subject, "has no key, so that its requests are refused")
		for n, key := range o.Keys {
			other, taken := owner[key]
			switch {
			case taken && other == o.Name:
				r.Add(Warning, "KeyTwice", subject, "its key %d stands there twice", n+1)
			case taken:
				r.Add(Error, "KeyOfTwo", subject, "its key %d is one of organisation %q as well; the last one gets the requests", n+1, other)
			}
			owner[key] = o.Name
		}
	}
}

func (r *Route) key() string { return r.Host + "\x00" + r.PathPrefix }

func (r *Route) subject() string {
	return fmt.Sprintf("route %q (host %q, prefix %q)", r.Name, r.Host, r.PathPrefix)
}
