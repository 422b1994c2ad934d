package sidecar

// timerEntry is one entry of the timer queue: a timer of the module or the backstop of a call.
type timerEntry struct {
	at        float64
	token     uint64
	call      *call // nil for a timer of the module
	heapIndex int   // position in the queue; -1 once it has been removed
}

// timerQueue is a heap of entries, ordered by time.
type timerQueue []*timerEntry

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *timerQueue) Push(x any) {
	entry := x.(*timerEntry)
	entry.heapIndex = len(*q)
	*q = append(*q, entry)
}
func (q *timerQueue) Pop() any {
	entries := *q
	last := entries[len(entries)-1]
	last.heapIndex = -1
	entries[len(entries)-1] = nil
	*q = entries[:len(entries)-1]
	return last
}
