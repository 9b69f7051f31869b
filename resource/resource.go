// Package resource represents the resources that a worker offers and a task needs.
//
// # Usage
//
//	need := resource.Vector{Slots: 1, MilliCPU: 4000, MemoryMB: 8192}
//	if need.Fits(free) {
//		free = free.Sub(need)
//	}
package resource

// Vector is an amount of each resource, called a dimension. The zero Vector is no
// amount of any.
type Vector struct {
	Slots        int64 `json:"slots,omitempty"`
	MilliCPU     int64 `json:"milliCpu,omitempty"` // thousandths of a processor core
	MemoryMB     int64 `json:"memoryMb,omitempty"` // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		Slots:        v.Slots + o.Slots,
		MilliCPU:     v.MilliCPU + o.MilliCPU,
		MemoryMB:     v.MemoryMB + o.MemoryMB,
		Accelerators: v.Accelerators + o.Accelerators,
	}
}

// Sub returns v - o, which may be negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		Slots:        v.Slots - o.Slots,
		MilliCPU:     v.MilliCPU - o.MilliCPU,
		MemoryMB:     v.MemoryMB - o.MemoryMB,
		Accelerators: v.Accelerators - o.Accelerators,
	}
}

// Times returns n times v.
func (v Vector) Times(n int64) Vector {
	return Vector{Slots: n * v.Slots, MilliCPU: n * v.MilliCPU, MemoryMB: n * v.MemoryMB, Accelerators: n * v.Accelerators}
}

// Max returns the larger amount in each dimension.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		Slots:        max(v.Slots, o.Slots),
		MilliCPU:     max(v.MilliCPU, o.MilliCPU),
		MemoryMB:     max(v.MemoryMB, o.MemoryMB),
		Accelerators: max(v.Accelerators, o.Accelerators),
	}
}

// Fits reports whether v is at most available in every dimension.
func (v Vector) Fits(available Vector) bool {
	return v.Slots <= available.Slots && v.MilliCPU <= available.MilliCPU &&
		v.MemoryMB <= available.MemoryMB && v.Accelerators <= available.Accelerators
}

// Negative reports whether any dimension is below zero.
func (v Vector) Negative() bool {
	return v.Slots < 0 || v.MilliCPU < 0 || v.MemoryMB < 0 || v.Accelerators < 0
}

// Usable returns v, or the zero Vector if any dimension is below zero: what is short of one
// resource can use none of the others.
func (v Vector) Usable() Vector {
	if v.Negative() {
		return Vector{}
	}
	return v
}

// DominantShare returns the largest fraction of total that v takes in any
// dimension. Dimensions in which total is zero or less are ignored.
func (v Vector) DominantShare(total Vector) float64 {
	return max(
		fraction(v.Slots, total.Slots),
		fraction(v.MilliCPU, total.MilliCPU),
		fraction(v.MemoryMB, total.MemoryMB),
		fraction(v.Accelerators, total.Accelerators),
	)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
