package recorder

// Events of budgets and billing have the numbers 1000 to 1999. A keeper is the daemon of a
// zone that grants reservations of an account and writes its ledger. A share is the part of a
// balance that is allocated to one daemon.
const (
	KeeperTakeover    Code = 1001
	KeeperReplaced    Code = 1002
	BudgetUnaccounted Code = 1003
	// ShareTaken is logged when a daemon's shares of the balances change in the store.
	ShareTaken Code = 1101
	// SharesUnreachable is logged when a daemon's shares cannot be written to the store.
	SharesUnreachable Code = 1102
	// SharesLost is logged when the tokens that an earlier incarnation of the daemon held
	// count as spent.
	SharesLost Code = 1103
	// LoanTaken is logged when another daemon has transferred tokens of an account to this one.
	LoanTaken Code = 1104
	// LoanUnanswered is logged when a daemon has not responded to a request for a transfer.
	// The tokens that it may have transferred are lost to the account.
	LoanUnanswered Code = 1105
	// LoanFailed is logged when a message about a transfer cannot be sent, received or
	// decoded, or when this daemon cannot listen for such messages.
	LoanFailed Code = 1106
	// ClockUnreadable is logged when the clock that counts the time since the VM's boot cannot
	// be read.
	ClockUnreadable Code = 1107
	// SharesConfirmed is logged when a daemon has written its row again after the store was
	// restored from an older copy.
	SharesConfirmed Code = 1108
)

var _ = declare(eventNames{
	KeeperTakeover:    "keeper_takeover",
	KeeperReplaced:    "keeper_replaced",
	BudgetUnaccounted: "budget_unaccounted",
	ShareTaken:        "share_taken",
	SharesUnreachable: "shares_unreachable",
	SharesLost:        "shares_lost",
	LoanTaken:         "loan_taken",
	LoanUnanswered:    "loan_unanswered",
	LoanFailed:        "loan_failed",
	ClockUnreadable:   "clock_unreadable",
	SharesConfirmed:   "shares_confirmed",
})
