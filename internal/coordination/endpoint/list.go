package endpoint

import (
	"strconv"
	"time"
)

// list is the newest known VM list. Lists are ordered by the instant at which
// they were current, because a replica of the platform may return an old list.
type list struct {
	version uint64
	asOf    time.Time
	vms     map[string]VM
}

// replaceList replaces the VM list by a newer copy and ignores an older one.
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
		t.observe(now, r, func() { t.list.applyTo(r) })
	}
}

// applyTo applies the list to the record, unless a peer has sent the result of
// a newer list. A list that is older than the endpoint's start may mark a
// predecessor on the same VM as leaving. Leaving is permanent for a start, so
// it is not taken from an older list.
func (l *list) applyTo(r *record) {
	if l.vms == nil || r.goneAsOf.After(l.asOf) {
		return
	}
	vm, listed := l.vms[r.configured.VM]
	r.shared.gone, r.goneAsOf = !listed, l.asOf
	if vm.Leaving && r.id != "" && l.asOf.After(r.started) {
		r.shared.leaving = true
	}
}
