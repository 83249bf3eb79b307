package share

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

// holder holds the accounts, by pool, that this router is responsible for. It
// also accepts reports on other accounts, since the sender of a report may have
// a different view.
type holder struct {
	ledgers map[string]*account.Ledger
}

func newHolder() holder { return holder{ledgers: map[string]*account.Ledger{}} }

// report adds a router's report to the accounts and returns the answer.
func (h *holder) report(now time.Time, from view.RouterID, m *schedule.Report) *schedule.Tags {
	ledger := h.ledgers[m.Pool]
	if ledger == nil {
		ledger = account.NewLedger()
		h.ledgers[m.Pool] = ledger
	}
	ledger.RaiseFloor(m.Floor)
	if m.Virtual > 0 {
		ledger.UpdateServed(now, from, m.Virtual)
	}
	answer := &schedule.Tags{Pool: m.Pool, Accounts: make([]schedule.Account, len(m.Charges))}
	for i := range m.Charges {
		c := &m.Charges[i]
		balance := ledger.Apply(now, account.Report{
			From: from, Incarnation: m.Incarnation, Organisation: c.Organisation,
			Total: c.Total, Acknowledged: c.Acknowledged, Settled: c.Settled,
			Reserved: c.Reserved, Waiting: c.Waiting,
		})
		answer.Accounts[i] = schedule.Account{
			Organisation: c.Organisation, Settled: balance.Settled, Total: balance.Total,
			OthersReserved: balance.OthersReserved, OthersWait: balance.OthersWait,
			Lifted: balance.Lifted,
		}
	}
	answer.Virtual, answer.Floor = ledger.VirtualTime(), ledger.Floor()
	return answer
}
