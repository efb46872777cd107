package configurer

import (
	"net/netip"
	"time"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// Settings holds all settings of a daemon. Each field is a section of the file.
//
// The INI parser accepts the Go name of a field in a section as its key too. Renaming
// such a field therefore changes which files are valid.
type Settings struct {
	Daemon     Daemon     `group:"daemon"`
	Listen     Listen     `group:"listen"`
	Store      Store      `group:"store"`
	VMList     VMList     `group:"vmlist"`
	TLS        TLS        `group:"tls"`
	Membership Membership `group:"membership"`
	Budgets    Budgets    `group:"budgets"`
	Limits     Limits     `group:"limits"`
	Requests   Requests   `group:"requests"`
	Claims     Claims     `group:"claims"`
	Stop       Stop       `group:"stop"`
	Stale      Stale      `group:"stale"`
	Operators  Operators  `group:"operators"`
	Log        Log        `group:"log"`
}

// Daemon identifies the daemon and its location.
type Daemon struct {
	// VM is the name of the VM in the platform's VM list.
	VM     contractor.VM     `ini-name:"vm"`
	Zone   contractor.Zone   `ini-name:"zone"`
	Region contractor.Region `ini-name:"region"`
	// Incarnation distinguishes this start of the daemon from earlier ones on the VM.
	Incarnation Incarnation `ini-name:"incarnation" default:"auto"`
}

// Listen holds the addresses of the daemon's listeners.
type Listen struct {
	Callers Address `ini-name:"callers"`
	// Operators is the address of the administration API, health and metrics.
	Operators Address `ini-name:"operators"`
	Daemons   Address `ini-name:"daemons"`
	// Advertise is the address under which other daemons reach this one. If it is
	// empty, that is Daemons.
	Advertise Address `ini-name:"advertise"`
}

// Store holds the addresses and the rate limits of the platform's key-value service.
type Store struct {
	Endpoints []URL `ini-name:"endpoint"`
	// Reads and Writes are the maximum numbers of requests per second of this daemon.
	Reads   float64       `ini-name:"reads_per_second" default:"20"`
	Writes  float64       `ini-name:"writes_per_second" default:"10"`
	Timeout time.Duration `ini-name:"timeout" default:"2s"`
	// CA is the file with the authorities that may sign the store's certificate.
	CA string `ini-name:"ca"`
}

// VMList says where the daemon reads the platform's list of VMs, and how often.
type VMList struct {
	URL    URL           `ini-name:"url"`
	Period time.Duration `ini-name:"period" default:"5s"`
	// Lag is the longest time by which the list may be outdated. A daemon that does not
	// respond is considered gone once the list has lacked its VM for this time.
	Lag time.Duration `ini-name:"lag" default:"30s"`
}

// TLS holds the paths of keys and certificates in PEM format.
type TLS struct {
	CallersCertificate   string `ini-name:"callers_certificate"`
	CallersKey           string `ini-name:"callers_key"`
	OperatorsCertificate string `ini-name:"operators_certificate"`
	OperatorsKey         string `ini-name:"operators_key"`
	// DaemonsCA is the file with the authority that signs the daemons' certificates.
	DaemonsCA          string `ini-name:"daemons_ca"`
	DaemonsCertificate string `ini-name:"daemons_certificate"`
	DaemonsKey         string `ini-name:"daemons_key"`
	// Reload is the interval at which the files are checked for changes.
	Reload time.Duration `ini-name:"reload" default:"30s"`
}

// Membership holds the intervals of failure detection between daemons.
type Membership struct {
	// Probe is the interval between two probes of other daemons.
	Probe time.Duration `ini-name:"probe" default:"250ms"`
	// Timeout is the longest time that a probe waits for its response.
	Timeout time.Duration `ini-name:"timeout" default:"150ms"`
	// Suspect is the time in which a suspected daemon can prove that it is alive.
	Suspect time.Duration `ini-name:"suspect" default:"400ms"`
}

// Budgets holds the limits of grants and reservations.
type Budgets struct {
	// Horizon is the time for which a grant covers the recent consumption. A zone that
	// is partitioned from the store can serve requests for that long, provided that the
	// balance was large enough.
	Horizon time.Duration `ini-name:"horizon" default:"70m"`
	// Flush is the interval between two writes of an account's settlements.
	Flush time.Duration `ini-name:"flush" default:"1s"`
	// Term is the longest time for which a zone may spend a grant without reaching the
	// store.
	Term time.Duration `ini-name:"term" default:"2h"`
	// Drift is the maximum drift between the clocks of two VMs, as a fraction.
	Drift           float64         `ini-name:"drift" default:"0.001"`
	LostReservation LostReservation `ini-name:"lost_reservation" default:"charge"`
	// DispatchWindow is the longest time between a reservation and the dispatch of its
	// request.
	DispatchWindow time.Duration `ini-name:"dispatch_window" default:"2s"`
	// LongestRequest is the longest time between the dispatch of a request and its end.
	LongestRequest time.Duration `ini-name:"longest_request" default:"15m"`
}

// Limits holds the limits of the memory that callers and other daemons can occupy.
type Limits struct {
	// Body and Header are the maximum sizes of a caller's request.
	Body   Size `ini-name:"body" default:"4MB"`
	Header Size `ini-name:"header" default:"64KB"`
	// Message is the maximum size of a message between daemons.
	Message Size `ini-name:"message" default:"4MB"`
	// Queue is the maximum number of queued requests, QueueBytes the maximum of their
	// total size.
	Queue      int  `ini-name:"queue" default:"2000"`
	QueueBytes Size `ini-name:"queue_bytes" default:"128MB"`
	// Memory is a soft limit: near it, the garbage collector runs more often.
	Memory Size `ini-name:"memory" default:"1GB"`
}

// Requests holds the defaults and limits of single requests.
type Requests struct {
	// DefaultDeadline is the time-out of requests that set none.
	DefaultDeadline time.Duration `ini-name:"default_deadline" default:"2m"`
	// LongestDeadline is the longest time-out that a request may set.
	LongestDeadline time.Duration `ini-name:"longest_deadline" default:"10m"`
	// MaxOutput is the max_tokens of requests that set none.
	MaxOutput contractor.Tokens `ini-name:"max_output" default:"1024"`
	// Retries is the maximum number of attempts after the first one.
	Retries int `ini-name:"retries" default:"2"`
}

// Claims holds the retention of claims, which keep a non-idempotent call from being
// executed twice.
type Claims struct {
	// KeepAnswers is the time for which a retry receives the stored response.
	KeepAnswers time.Duration `ini-name:"keep_answers" default:"24h"`
	// KeepClaims is the time for which a claim without a response is retained.
	KeepClaims time.Duration `ini-name:"keep_claims" default:"720h"`
}

// Stop holds the limit of a planned stop.
type Stop struct {
	// Grace is the longest time that a planned stop waits for requests in flight.
	Grace time.Duration `ini-name:"grace" default:"10m"`
}

// Stale says how the daemon handles requests while its contracts may be outdated.
type Stale struct {
	// After is the time without contact to the store, directly or through another
	// daemon, after which contracts may be outdated.
	After  time.Duration `ini-name:"after" default:"1m"`
	Policy StalePolicy   `ini-name:"policy" default:"refuse"`
}

// Operators lists the users of the administration API.
type Operators struct {
	Operators []Operator `ini-name:"operator"`
}

// Log holds the verbosity of the log.
type Log struct {
	Level int `ini-name:"level" default:"0"`
}

// Self returns the identity of the daemon if it starts at now.
func (s *Settings) Self(now time.Time) messenger.Peer {
	address := s.Listen.Advertise.AddrPort
	if !address.IsValid() {
		address = s.Listen.Daemons.AddrPort
	}
	if address.Port() == 0 {
		address = netip.AddrPort{} // known once the daemon listens
	}
	return messenger.Peer{
		VM:          s.Daemon.VM,
		Zone:        s.Daemon.Zone,
		Region:      s.Daemon.Region,
		Incarnation: s.Daemon.Incarnation.At(now),
		Address:     address,
	}
}
