// Package deployment describes the two companies that run cowslipgap, with the
// sizes from their requirements, for the demo, the load generator, the simulated
// platform and the measurements.
//
// # Usage
//
//	d, err := deployment.ByName("giadan")
//	for _, zone := range d.Zones { ... }
package deployment

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/resource"
)

// ErrUnknown means that no deployment has the name.
var ErrUnknown = errors.New("deployment: unknown")

// Deployment describes the fleet, teams and workload of one company.
type Deployment struct {
	Name           string
	Title          string
	Zones          []string
	HostsPerZone   int // entry hosts
	WorkersPerZone int
	WorkersPerRack int
	WorkerCapacity resource.Vector // capacity of each worker
	Connections    int             // maximum number of connections to each worker
	Teams          []Team
	Workloads      []Workload
}

// Team is a client account.
type Team struct {
	Name  string
	Share float64
	Limit int // maximum number of tasks running at once; no limit if zero
}

// Workload is a kind of request or job that callers send.
type Workload struct {
	Name       string // name that callers use
	Class      class.Class
	Need       resource.Vector
	MinRunTime time.Duration // run time, uniformly distributed between MinRunTime and MaxRunTime
	MaxRunTime time.Duration
	Rate       float64 // requests or jobs per second; unused for batch jobs
	Tasks      int     // number of tasks of each job; 0 for requests
	Deadline   time.Duration
}

// ByName returns the deployment with the given name.
func ByName(name string) (Deployment, error) {
	for _, d := range All() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Mark(errors.Newf("deployment %q does not exist; use giadan or banksia", name), ErrUnknown)
}

// All returns every deployment.
func All() []Deployment { return []Deployment{giaDan(), banksia()} }

// giaDan returns the deployment of Nguyễn Gia Đàn Guitar Repair in Hội An.
func giaDan() Deployment {
	return Deployment{
		Name: "giadan", Title: "Nguyễn Gia Đàn Guitar Repair",
		Zones: []string{"cam-pho", "minh-an", "son-phong"}, HostsPerZone: 2, WorkersPerZone: 16, WorkersPerRack: 8,
		WorkerCapacity: resource.Vector{Slots: 8, MilliCPU: 32_000, MemoryMB: 65_536}, Connections: 64,
		Teams: []Team{
			{Name: "touring", Share: 4}, {Name: "school", Share: 3}, {Name: "teachers", Share: 2},
			{Name: "players", Share: 1, Limit: 30}, {Name: "festival", Share: 1}, {Name: "walk-in", Share: 1},
		},
		Workloads: []Workload{
			{Name: "slot check", Class: class.Lookup, Need: need(250, 128), MinRunTime: 2 * time.Millisecond, MaxRunTime: 8 * time.Millisecond, Rate: 150, Deadline: 2 * time.Second},
			{Name: "refret estimate", Class: class.Large, Need: need(4000, 8192), MinRunTime: 300 * time.Millisecond, MaxRunTime: 1200 * time.Millisecond, Rate: 30, Deadline: time.Minute},
			{Name: "setup quote", Class: class.Small, Need: need(1000, 1024), MinRunTime: 20 * time.Millisecond, MaxRunTime: 120 * time.Millisecond, Rate: 100, Deadline: time.Minute},
			{Name: "string inventory", Class: class.Batch, Need: need(2000, 2048), MinRunTime: 400 * time.Millisecond, MaxRunTime: 1200 * time.Millisecond, Tasks: 60},
			{Name: "wood drying model", Class: class.Gang, Need: need(2000, 2048), MinRunTime: 300 * time.Millisecond, MaxRunTime: 600 * time.Millisecond, Tasks: 8, Rate: 1},
		},
	}
}

// banksia returns the deployment of Banksia Strata Minutes Co. in Perth.
func banksia() Deployment {
	return Deployment{
		Name: "banksia", Title: "Banksia Strata Minutes Co.",
		Zones: []string{"joondalup", "fremantle", "midland", "perth"}, HostsPerZone: 2, WorkersPerZone: 12, WorkersPerRack: 6,
		WorkerCapacity: resource.Vector{Slots: 8, MilliCPU: 64_000, MemoryMB: 131_072}, Connections: 64,
		Teams: []Team{
			{Name: "swan", Share: 3}, {Name: "coast", Share: 3}, {Name: "hills", Share: 2},
			{Name: "river", Share: 2, Limit: 40}, {Name: "south-west", Share: 1}, {Name: "great-southern", Share: 1},
		},
		Workloads: []Workload{
			{Name: "notice check", Class: class.Lookup, Need: need(250, 128), MinRunTime: 2 * time.Millisecond, MaxRunTime: 10 * time.Millisecond, Rate: 120, Deadline: 2 * time.Second},
			{Name: "minute pack", Class: class.Large, Need: need(8000, 16384), MinRunTime: 400 * time.Millisecond, MaxRunTime: 1500 * time.Millisecond, Rate: 24, Deadline: time.Minute},
			{Name: "motion recount", Class: class.Small, Need: need(1000, 2048), MinRunTime: 30 * time.Millisecond, MaxRunTime: 150 * time.Millisecond, Rate: 80, Deadline: time.Minute},
			{Name: "archive index", Class: class.Batch, Need: need(4000, 4096), MinRunTime: 400 * time.Millisecond, MaxRunTime: 1200 * time.Millisecond, Tasks: 60},
			{Name: "levy model", Class: class.Gang, Need: need(4000, 4096), MinRunTime: 300 * time.Millisecond, MaxRunTime: 600 * time.Millisecond, Tasks: 6, Rate: 1},
		},
	}
}

// need returns the need of a task that takes one slot.
func need(milliCPU, memoryMB int64) resource.Vector {
	return resource.Vector{Slots: 1, MilliCPU: milliCPU, MemoryMB: memoryMB}
}

// TotalCapacity returns the capacity of the whole fleet.
func (d Deployment) TotalCapacity() resource.Vector {
	var total resource.Vector
	for range len(d.Zones) * d.WorkersPerZone {
		total = total.Add(d.WorkerCapacity)
	}
	return total
}
