package scale

import "time"

// Use is what a process, or the mean of a role's processes, used in the window.
type Use struct {
	Role       string  `json:"role"`
	Name       string  `json:"name,omitempty"`
	Processes  int     `json:"processes"`
	CPU        float64 `json:"cpu"`                       // CPU seconds a second
	ResidentMB float64 `json:"resident_mb"`               // at the end of the window
	ReadBytes  float64 `json:"read_bytes_per_second"`     // by system calls, sockets and files together
	WriteBytes float64 `json:"write_bytes_per_second"`    // likewise
	ReadCalls  float64 `json:"read_calls_per_second"`     // system calls
	WriteCalls float64 `json:"write_calls_per_second"`    // likewise
	Requests   float64 `json:"requests_per_second"`       // of the watch protocol, as the simulated directors counted
	BytesUp    float64 `json:"watch_up_per_second"`       // bytes of requests
	BytesDown  float64 `json:"watch_down_per_second"`     // bytes of answers
	Ended      bool    `json:"ended_in_window,omitempty"` // it was not measured
}

// Spread describes times in milliseconds.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Row is one size as it was measured.
type Row struct {
	Began          time.Time  `json:"began"`
	Simulated      int        `json:"hollow_directors"`
	Real           int        `json:"real_directors"`
	JoinSeconds    float64    `json:"join_seconds"` // until all were on the membership
	Joined         int        `json:"joined"`       // on the membership before the window
	WindowSeconds  float64    `json:"window_seconds"`
	LoadAverage    [2]float64 `json:"load_average"`      // of the last minute, before and after the window
	MachineBusy    float64    `json:"machine_busy"`      // CPU seconds a second of all processes of the machine
	OwnBusy        float64    `json:"own_busy"`          // of the run's processes and the run itself
	Roles          []Use      `json:"roles"`             // means
	Processes      []Use      `json:"processes"`         // each
	DirectorUp     float64    `json:"director_up"`       // bytes a second of one simulated director's requests
	DirectorDown   float64    `json:"director_down"`     // of its answers
	DirectorCalls  float64    `json:"director_requests"` // a second
	Accepted       Spread     `json:"purge_accepted"`    // from a purge's call to its acceptance
	Delay          Spread     `json:"purge_delay"`       // from acceptance to arrival, over all directors
	Last           Spread     `json:"purge_last"`        // from acceptance to the last director's arrival, over purges
	Missing        int        `json:"purges_missing"`    // arrivals that did not come by the window's end, a second after acceptance
	Unjudged       bool       `json:"purges_unjudged,omitempty"`
	Repeated       int64      `json:"purges_repeated"` // that came to a director again, or out of order
	NotAccepted    int        `json:"purges_not_accepted"`
	Changes        int        `json:"changes"`         // of the configuration that were taken
	ChangesBusy    int        `json:"changes_refused"` // because one was under way, or for another reason
	Grants         float64    `json:"grants_per_second"`
	LargestPartSum float64    `json:"largest_part_sum"`     // of the warming caches' parts in force at the end; 1 is the limit
	MembershipLost int        `json:"membership_lost"`      // directors removed from the membership that lived
	LostNames      []string   `json:"lost_names,omitempty"` // of the first of them
	MembershipGone int        `json:"membership_gone"`      // all that were removed
	LeaseLosses    int        `json:"lease_losses"`         // by the logs of replicas and relays that closed their watches
	// EndedByServer counts connections that a server ended or rejected. A replica that finds its lease over while it
	// answers ends them without a line in its log.
	EndedByServer   int64            `json:"ended_by_server"`
	Lapsed          int              `json:"lapsed"` // simulated directors whose lease ran out
	LongestSilence  float64          `json:"longest_silence_ms"`
	Reconnects      int64            `json:"reconnects"`
	Reasons         map[string]int64 `json:"reconnect_reasons,omitempty"`
	Restarted       int              `json:"restarted,omitempty"`
	Fault           Fault            `json:"fault,omitempty"`
	FaultAtSeconds  float64          `json:"fault_at_seconds,omitempty"` // after the window's begin
	RecoverySeconds float64          `json:"recovery_seconds,omitempty"` // from the fault until all watch for the rest of the window
	Recovered       bool             `json:"recovered,omitempty"`
	Collapsed       []string         `json:"collapsed,omitempty"` // why the size counts as more than the control plane bears
}

// Result is the outcome of a run.
type Result struct {
	Began    time.Time `json:"began"`
	Settings Settings  `json:"settings"`
	Cores    int       `json:"cores"`
	MemoryMB float64   `json:"memory_mb"`
	Rows     []Row     `json:"rows"`
	// Laws are those of the CPU of roles, by role, over the sizes that did not collapse; none with fewer than three of them.
	Laws map[string]Law `json:"laws,omitempty"`
	// Stopped tells why larger sizes were not run.
	Stopped string `json:"stopped,omitempty"`
}

// collapseReasons lists why a size is more than the control plane bears. A fault that the run made itself is no reason for what follows
// from it at once, but a living director that is removed from the membership always is one.
func collapseReasons(r Row) (reasons []string) {
	add := func(is bool, reason string) {
		if is {
			reasons = append(reasons, reason)
		}
	}
	calm := r.Fault == NoFault
	add(r.Joined < r.Simulated+r.Real, "not all directors came on the membership")
	add(r.MembershipLost > 0, "living directors were taken off the membership")
	add(r.Repeated > 0, "purges came twice or out of order")
	add(calm && !r.Unjudged && r.Missing > 0, "purges did not come within a second")
	add(calm && r.LeaseLosses > 0, "replicas lost their leases")
	add(calm && r.EndedByServer > 0, "servers ended connections")
	add(calm && r.Lapsed > 0, "directors lost their leases")
	add(calm && r.NotAccepted > 0, "purges were not accepted")
	add(!calm && !r.Recovered, "not all directors watched again")
	return reasons
}

// fitLaws finds the laws of the roles' CPU.
func fitLaws(rows []Row) map[string]Law {
	points := map[string][]Point{}
	for _, row := range rows {
		if len(row.Collapsed) > 0 {
			continue
		}
		for _, use := range row.Roles {
			points[use.Role] = append(points[use.Role], Point{Directors: float64(row.Simulated + row.Real), Value: use.CPU})
		}
	}
	laws := map[string]Law{}
	for role, measured := range points {
		if law, err := Fit(measured); err == nil {
			laws[role] = law
		}
	}
	return laws
}
