package scale

import "time"

// ProcessUsage is the resource usage of a process in the window, or the mean of a role's processes.
type ProcessUsage struct {
	Role       string  `json:"role"`
	Name       string  `json:"name,omitempty"`
	Processes  int     `json:"processes"`
	CPU        float64 `json:"cpu"`                       // CPU seconds per second
	ResidentMB float64 `json:"resident_mb"`               // at the end of the window
	ReadBytes  float64 `json:"read_bytes_per_second"`     // read by system calls from sockets and files
	WriteBytes float64 `json:"write_bytes_per_second"`    // written to them
	ReadCalls  float64 `json:"read_calls_per_second"`     // system calls
	WriteCalls float64 `json:"write_calls_per_second"`    // system calls
	Requests   float64 `json:"requests_per_second"`       // of the watch protocol, as counted by the simulated directors
	BytesUp    float64 `json:"watch_up_per_second"`       // bytes of requests per second
	BytesDown  float64 `json:"watch_down_per_second"`     // bytes of responses per second
	Ended      bool    `json:"ended_in_window,omitempty"` // it exited before the window's end and was not measured
}

// Distribution summarizes durations, in milliseconds.
type Distribution struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Row holds the results of one size.
type Row struct {
	Began             time.Time      `json:"began"`
	Simulated         int            `json:"hollow_directors"`
	Real              int            `json:"real_directors"`
	JoinSeconds       float64        `json:"join_seconds"` // until all directors were members
	Joined            int            `json:"joined"`       // members before the window
	WindowSeconds     float64        `json:"window_seconds"`
	LoadAverage       [2]float64     `json:"load_average"`      // one-minute average before and after the window
	MachineBusy       float64        `json:"machine_busy"`      // CPU seconds per second of all processes of the machine
	OwnBusy           float64        `json:"own_busy"`          // CPU seconds per second of the run's processes and the run itself
	Roles             []ProcessUsage `json:"roles"`             // means by role
	Processes         []ProcessUsage `json:"processes"`         // one entry per process
	DirectorUp        float64        `json:"director_up"`       // bytes of requests per second and simulated director
	DirectorDown      float64        `json:"director_down"`     // bytes of responses per second and simulated director
	DirectorRequests  float64        `json:"director_requests"` // per second and simulated director
	PurgeAccepted     Distribution   `json:"purge_accepted"`    // from a purge's call to its acceptance
	PurgeDelay        Distribution   `json:"purge_delay"`       // from acceptance to arrival, over all directors
	PurgeLast         Distribution   `json:"purge_last"`        // from acceptance to arrival at the last director, over all purges
	PurgesMissing     int            `json:"purges_missing"`    // arrivals missing at the window's end, a second or more after acceptance
	PurgesUnjudged    bool           `json:"purges_unjudged,omitempty"`
	PurgesRepeated    int64          `json:"purges_repeated"` // purges that a director received more than once or out of order
	PurgesNotAccepted int            `json:"purges_not_accepted"`
	Changes           int            `json:"changes"`              // configuration changes that were applied
	ChangesRefused    int            `json:"changes_refused"`      // changes rejected because another was in progress, or failed otherwise
	Grants            float64        `json:"grants_per_second"`    // quota grants that simulated directors received
	LargestPartSum    float64        `json:"largest_part_sum"`     // largest sum of shares of one warming cache at the end; 1 is the limit
	MembershipLost    int            `json:"membership_lost"`      // directors removed from the membership while they were running
	LostNames         []string       `json:"lost_names,omitempty"` // of the first directors in MembershipLost
	MembershipGone    int            `json:"membership_gone"`      // all directors removed from the membership
	LeaseLosses       int            `json:"lease_losses"`         // how often replicas and relays closed watches for lack of a lease
	// EndedByServer counts connections that a server closed or rejected. A replica that finds its lease expired while it
	// answers closes them without a log line.
	EndedByServer   int64            `json:"ended_by_server"`
	Lapsed          int              `json:"lapsed"`             // simulated directors whose lease expired
	LongestSilence  float64          `json:"longest_silence_ms"` // longest time that a simulated director was without an answer
	Reconnects      int64            `json:"reconnects"`
	Reasons         map[string]int64 `json:"reconnect_reasons,omitempty"`
	Restarted       int              `json:"restarted,omitempty"`
	Fault           Fault            `json:"fault,omitempty"`
	FaultAtSeconds  float64          `json:"fault_at_seconds,omitempty"` // after the start of the window
	RecoverySeconds float64          `json:"recovery_seconds,omitempty"` // from the fault until all watch for the rest of the window
	Recovered       bool             `json:"recovered,omitempty"`
	Collapsed       []string         `json:"collapsed,omitempty"` // why the size counts as more than the control plane can handle
}

// Result holds the results of a run.
type Result struct {
	Began    time.Time `json:"began"`
	Settings Settings  `json:"settings"`
	Cores    int       `json:"cores"`
	MemoryMB float64   `json:"memory_mb"`
	Rows     []Row     `json:"rows"`
	// Laws are the laws of CPU usage by role, over the sizes that did not collapse. A role has none with fewer than three such sizes.
	Laws map[string]Law `json:"laws,omitempty"`
	// Stopped is the reason why larger sizes were not run.
	Stopped string `json:"stopped,omitempty"`
}

// collapseReasons returns the reasons why a size is more than the control plane can handle. The direct effects of a fault that the run
// injected don't count, but the removal of a running director from the membership always does.
func collapseReasons(r Row) (reasons []string) {
	add := func(condition bool, reason string) {
		if condition {
			reasons = append(reasons, reason)
		}
	}
	withoutFault := r.Fault == NoFault
	add(r.Joined < r.Simulated+r.Real, "not all directors became members")
	add(r.MembershipLost > 0, "running directors were removed from the membership")
	add(r.PurgesRepeated > 0, "purges arrived twice or out of order")
	add(withoutFault && !r.PurgesUnjudged && r.PurgesMissing > 0, "purges did not arrive within a second")
	add(withoutFault && r.LeaseLosses > 0, "replicas lost their leases")
	add(withoutFault && r.EndedByServer > 0, "servers ended connections")
	add(withoutFault && r.Lapsed > 0, "directors lost their leases")
	add(withoutFault && r.PurgesNotAccepted > 0, "purges were not accepted")
	add(!withoutFault && !r.Recovered, "not all directors resumed watching")
	return reasons
}

// fitLaws returns the laws of CPU usage by role, over the sizes that did not collapse.
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
