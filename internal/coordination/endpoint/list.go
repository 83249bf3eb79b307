package endpoint

import (
	"strconv"
	"time"
)

// list is the newest VM list known. The instant at which a list was true
// orders the lists, since a replica of the platform may answer with an old one.
type list struct {
	version uint64
	asOf    time.Time
	vms     map[string]VM
}

// replaceList takes a copy of the VM list unless it is older than the one
// that is known.
func (t *Table) replaceList(now time.Time, in List) {
	if !in.AsOf.After(t.list.asOf) {
		return
	}
	if in.Version != t.list.version {
		t.emit(Decision{"VMListChanged", []string{
			"Version", strconv.FormatUint(in.Version, 10), "AsOf", in.AsOf.Format(time.RFC3339Nano),
		}})
	}
	t.list.version, t.list.asOf = in.Version, in.AsOf
	t.list.vms = make(map[string]VM, len(in.VMs))
	for _, vm := range in.VMs {
		t.list.vms[vm.Name] = vm
	}
	for _, key := range t.keys {
		r := t.records[key]
		t.observe(now, r, func() { t.list.mark(r) })
	}
}

// mark applies the list to the record, unless a peer has told of a newer one.
// A list that is older than the endpoint's start may tell of its predecessor
// on the VM, and leaving would stick, so that is left out.
func (l *list) mark(r *record) {
	if l.vms == nil || r.goneAsOf.After(l.asOf) {
		return
	}
	vm, listed := l.vms[r.configured.VM]
	r.facts.gone, r.goneAsOf = !listed, l.asOf
	if vm.Leaving && r.id != "" && l.asOf.After(r.started) {
		r.facts.leaving = true
	}
}
