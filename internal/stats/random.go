package stats

const increment = 0x9e3779b97f4a7c15 // of splitmix64: 2^64 over the golden ratio, odd

// Random is a stream of random numbers (splitmix64). Equal seeds give equal streams on every machine.
type Random struct{ state uint64 }

// NewRandom returns the random number stream of a seed.
func NewRandom(seed uint64) Random { return Random{seed ^ increment} }

// Float64 returns the next number in [0, 1).
func (r *Random) Float64() float64 {
	r.state += increment
	return float64(Mix(r.state)>>11) / (1 << 53)
}

// Mix returns a hash of a number. Inputs that differ in a few bits give hashes that differ in about half of theirs.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
