package recorder

// Events of budgets and billing have the numbers 1000 to 1999.
const (
	KeeperTakeover    Code = 1001
	KeeperReplaced    Code = 1002
	BudgetUnaccounted Code = 1003
	// ShareTaken is logged when a daemon's shares of the balances change in the store.
	ShareTaken Code = 1101
	// SharesUnreachable is logged when the store does not take a daemon's shares.
	SharesUnreachable Code = 1102
	// SharesLost is logged when what an ended run of the daemon held counts as spent.
	SharesLost Code = 1103
	// LoanTaken is logged when another daemon has lent tokens of an account.
	LoanTaken Code = 1104
	// LoanUnanswered is logged when a daemon has not answered whether it lends. What it
	// may have lent is lost to the account.
	LoanUnanswered Code = 1105
	// LoanFailed is logged when a message about a loan cannot be written or read.
	LoanFailed Code = 1106
	// ClockUnreadable is logged when the clock that runs since the VM's boot cannot be read.
	ClockUnreadable Code = 1107
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
})
