package text

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/state/problem"
)

func formatTime(t time.Time) string { return strconv.Quote(t.Format(time.RFC3339Nano)) }

func (v *validator) checkServices() {
	checkName := v.uniqueNameCheck("service", problem.IsName, problem.AllowedName)
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		at := problem.Index("Services", i)
		checkName(problem.Field(at, "Name"), s.Name)
		v.checkPoolExists(problem.Field(at, "Pool"), s.Pool)
		v.checkKind(at, s)
		v.checkDependsOn(at, s)
		v.checkClasses(at, s)
	}
}

// checkKind checks the service's kind, and that the pool of a model service has
// models.
func (v *validator) checkKind(at string, s *Service) {
	switch s.Kind {
	case KindPlain:
	case KindModel:
		hasModel := slices.ContainsFunc(v.doc.Models, func(m Model) bool { return m.Pool == s.Pool })
		if !hasModel && v.pools[s.Pool] != nil {
			v.add(problem.Field(at, "Pool"), strconv.Quote(s.Pool), "a pool that one of Models names")
		}
	default:
		v.add(problem.Field(at, "Kind"), strconv.Quote(string(s.Kind)), `"Model" or "Plain"`)
	}
}

func (v *validator) checkDependsOn(at string, s *Service) {
	seen := make(map[string]string)
	for i, name := range s.DependsOn {
		path := problem.Index(problem.Field(at, "DependsOn"), i)
		if v.services[name] == nil {
			v.add(path, strconv.Quote(name), "the Name of one of Services")
			continue
		}
		v.checkUnique(path, strconv.Quote(name), name, "each service once", seen)
	}
}

func (v *validator) checkClasses(at string, s *Service) {
	path := problem.Field(at, "Classes")
	if len(s.Classes) == 0 {
		v.add(path, "no class", "at least one; a class without Methods and PathPrefix matches every request")
	}
	checkName := v.uniqueNameCheck("class of the service", problem.IsName, problem.AllowedName)
	for i := range s.Classes {
		c := &s.Classes[i]
		at := problem.Index(path, i)
		checkName(problem.Field(at, "Name"), c.Name)
		v.checkClass(at, c)
		for j := range s.Classes[:i] {
			if s.Classes[j].covers(c) {
				v.add(at, "a class that never matches, because "+problem.Index(path, j)+" matches all of its requests first",
					"the more specific class before the more general one")
				break
			}
		}
	}
}

func (v *validator) checkClass(at string, c *Class) {
	if c.Urgency < 0 || c.Urgency > maxUrgency {
		v.add(problem.Field(at, "Urgency"), formatInt(c.Urgency), "0 to "+formatInt(maxUrgency))
	}
	if c.EstimatedCost < 0 {
		v.add(problem.Field(at, "EstimatedCost"), formatFloat(c.EstimatedCost), "0 or more")
	}
	if c.PathPrefix != "" && !strings.HasPrefix(c.PathPrefix, "/") {
		v.add(problem.Field(at, "PathPrefix"), strconv.Quote(c.PathPrefix), `a path that begins with "/"`)
	}
	seen := make(map[string]string)
	for i, method := range c.Methods {
		path := problem.Index(problem.Field(at, "Methods"), i)
		if v.checkFormat(path, method, methodPattern.MatchString, `a method in capitals such as "POST"`) {
			v.checkUnique(path, strconv.Quote(method), method, "each method once", seen)
		}
	}
}

// checkCycles reports the cycles in the dependencies of the services.
func (v *validator) checkCycles() {
	const (
		unvisited = iota
		inProgress
		done
	)
	states := make(map[string]int, len(v.doc.Services))
	var visit func(name string, stack []string)
	visit = func(name string, stack []string) {
		s := v.services[name]
		if s == nil || states[name] == done {
			return
		}
		stack = append(stack, name)
		if states[name] == inProgress {
			v.reportCycle(stack)
			return
		}
		states[name] = inProgress
		for _, next := range s.DependsOn {
			visit(next, stack)
		}
		states[name] = done
	}
	for i := range v.doc.Services {
		visit(v.doc.Services[i].Name, nil)
	}
}

// reportCycle reports the cycle at the end of the stack, at the dependency that
// closes it.
func (v *validator) reportCycle(stack []string) {
	last := stack[len(stack)-1]
	from := stack[len(stack)-2]
	cycle := stack[slices.Index(stack, last):]
	for i := range v.doc.Services {
		if &v.doc.Services[i] != v.services[from] {
			continue
		}
		path := problem.Field(problem.Index("Services", i), "DependsOn")
		at := problem.Index(path, slices.Index(v.doc.Services[i].DependsOn, last))
		v.add(at, "the cycle "+strings.Join(cycle, " -> "), "dependencies without a cycle")
		return
	}
}

// covers reports whether c matches every request that other matches.
func (c *Class) covers(other *Class) bool {
	if !matchesPath(c.PathPrefix, other.PathPrefix) {
		return false
	}
	if len(c.Methods) == 0 {
		return true
	}
	if len(other.Methods) == 0 {
		return false
	}
	for _, method := range other.Methods {
		if !slices.Contains(c.Methods, method) {
			return false
		}
	}
	return true
}

// matchesPath reports whether the path begins with the prefix, in whole
// segments: "/board" matches "/board/7" but not "/boards".
func matchesPath(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || prefix == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
