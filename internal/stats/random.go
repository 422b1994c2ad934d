package stats

const increment = 0x9e3779b97f4a7c15 // step of the splitmix64 state: 2^64 / golden ratio, rounded to an odd number

// Random is a stream of random numbers (splitmix64). Equal seeds give equal streams on every machine.
type Random struct{ state uint64 }

// NewRandom returns the stream of random numbers for the given seed.
func NewRandom(seed uint64) Random { return Random{seed ^ increment} }

// Float64 returns the next number of the stream, in [0, 1).
func (r *Random) Float64() float64 {
	r.state += increment
	return float64(Mix(r.state)>>11) / (1 << 53)
}

// Mix returns a hash of z. Inputs that differ in a few bits have hashes that differ in about half of their bits.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
