// Package wire implements the binary protocol of the simulator. It decodes batches into events of the balancer and
// encodes actions into replies. It also parses the settings object, which the sidecar's configuration contains too.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"forkline"
)

// Sizes in bytes, and limits.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 48
	actionSize      = 24
	entrySize       = 22
	maxBatchSize    = 1 << 30 // a longer length indicates a corrupt frame
	maxLists        = 16      // number of server lists that a process can hold
	readChunkSize   = 1 << 20 // allocated at a time while reading a batch, so that a false length alone allocates little
)

// Event codes of the protocol.
const (
	codeStart           = 1
	codeListChange      = 2
	codeRequest         = 3
	codeResponseStarted = 4
	codeOutcome         = 5
	codeClientGone      = 6
	codeTimer           = 7
	codeProbeResult     = 8
	codePeer            = 9
	codeStop            = 10
	codeList            = 11
)

var outcomes = map[byte]forkline.Outcome{
	0: forkline.OK, 255: forkline.Error, 254: forkline.Rejected, 253: forkline.Timeout,
	252: forkline.ConnectFailed, 251: forkline.Reset, 250: forkline.Cancelled, 249: forkline.NotSent,
}

// Host handles the records of a batch one by one. An error ends the delivery of the batch.
type Host interface {
	// Start creates an instance with the given settings in JSON, or replaces it.
	Start(instance uint16, seed uint64, settings []byte, now float64) error
	// Stop removes an instance.
	Stop(instance uint16)
	// Event passes an event to an instance. It must not keep ev, which is reused.
	Event(instance uint16, now float64, ev *forkline.Event) error
}

// Batch is one input frame. Its body is valid until the next call to Decoder.Read.
type Batch struct {
	Number uint32  // the reply carries the same number
	Now    float64 // time of all records, in ms
	count  int     // number of records
	body   []byte  // the records, then the tail of variable-size data that they refer to by offset
}

// Decoder reads batches. It keeps the numbered server lists, which all instances of the process share.
type Decoder struct {
	lists    [maxLists][]forkline.ServerEntry
	received [maxLists]bool // whether the list of each number has been received
	body     []byte         // reused buffer
	ev       forkline.Event // reused event
}

// Read reads the next batch from r. It returns io.EOF if the input ends before a batch.
func (d *Decoder) Read(r io.Reader) (Batch, error) {
	var head [batchHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	b := Batch{
		Number: binary.LittleEndian.Uint32(head[0:]),
		Now:    f64(head[8:]),
		count:  int(binary.LittleEndian.Uint32(head[16:])),
	}
	size := int(binary.LittleEndian.Uint32(head[4:]))
	switch {
	case math.IsNaN(b.Now) || math.IsInf(b.Now, 0):
		return b, fmt.Errorf("batch %d: the clock is no number", b.Number)
	case size > maxBatchSize:
		return b, fmt.Errorf("batch %d: length %d is over the limit of %d bytes", b.Number, size, maxBatchSize)
	case b.count > size/eventSize:
		return b, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.Number, b.count, size)
	}
	d.body = d.body[:0]
	for len(d.body) < size {
		start, chunk := len(d.body), min(size-len(d.body), readChunkSize)
		d.body = append(d.body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, d.body[start:]); err != nil {
			if errors.Is(err, io.EOF) { // io.EOF stands for the end of the input between two batches
				err = io.ErrUnexpectedEOF
			}
			return b, fmt.Errorf("batch %d: %d of %d bytes missing: %w", b.Number, size-start, size, err)
		}
	}
	b.body = d.body
	return b, nil
}

// Deliver decodes the records of a batch and passes them to the host in order.
func (d *Decoder) Deliver(b Batch, host Host) error {
	tail := b.body[b.count*eventSize:]
	for i := 0; i < b.count; i++ {
		rec := b.body[i*eventSize : (i+1)*eventSize]
		if err := d.deliverRecord(rec, tail, b.Now, host); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Number, i, err)
		}
	}
	return nil
}

func (d *Decoder) deliverRecord(rec, tail []byte, now float64, host Host) error {
	code, inst := u16(rec), u16(rec[2:])
	ev := &d.ev
	*ev = forkline.Event{}
	switch code {
	case codeList:
		return d.decodeList(rec, tail)
	case codeStart:
		text, err := tailSlice(tail, u32(rec[12:]), u32(rec[16:]), 1)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return host.Start(inst, binary.LittleEndian.Uint64(rec[4:]), text, now)
	case codeStop:
		host.Stop(inst)
		return nil
	case codePeer:
		return nil
	case codeListChange:
		if err := d.decodeListChange(rec, ev); err != nil {
			return err
		}
	case codeRequest:
		ev.Kind, ev.Request, ev.Class, ev.Tenant = forkline.EvRequest, u32(rec[4:]), u16(rec[8:]), u16(rec[10:])
		ev.Key, ev.Deadline = binary.LittleEndian.Uint64(rec[12:]), f64(rec[20:])
		if rec[36]&1 != 0 {
			ev.WorkHint = f64(rec[28:])
		}
	case codeResponseStarted:
		ev.Kind, ev.Request, ev.Attempt = forkline.EvResponseStarted, u32(rec[4:]), u16(rec[8:])
		ev.Server, ev.Elapsed = u32(rec[10:]), f64(rec[14:])
	case codeOutcome:
		ev.Kind, ev.Request, ev.Server, ev.Attempt = forkline.EvOutcome, u32(rec[4:]), u32(rec[9:]), u16(rec[13:])
		ev.Elapsed, ev.RequestDone = f64(rec[15:]), rec[23] != 0
		if err := setOutcome(rec[8], ev); err != nil {
			return err
		}
	case codeClientGone:
		ev.Kind, ev.Request = forkline.EvClientGone, u32(rec[4:])
	case codeTimer:
		ev.Kind, ev.Token = forkline.EvTimer, binary.LittleEndian.Uint64(rec[4:])
	case codeProbeResult:
		ev.Kind, ev.Server, ev.Elapsed = forkline.EvProbeResult, u32(rec[4:]), f64(rec[9:])
		ev.ReportLen = min(int(rec[17]), len(ev.Report))
		for i := range ev.ReportLen {
			ev.Report[i] = math.Float32frombits(u32(rec[18+4*i:]))
		}
		if err := setOutcome(rec[8], ev); err != nil {
			return err
		}
	default:
		return fmt.Errorf("event code %d is unknown", code)
	}
	return host.Event(inst, now, ev)
}

func setOutcome(code byte, ev *forkline.Event) error {
	o, ok := outcomes[code]
	if !ok {
		return fmt.Errorf("outcome %d is unknown", code)
	}
	ev.Outcome = o
	return nil
}

// decodeList stores a server list under its number.
func (d *Decoder) decodeList(rec, tail []byte) error {
	number, count := u32(rec[2:]), u32(rec[10:])
	if number >= maxLists {
		return fmt.Errorf("list number %d is over %d", number, maxLists-1)
	}
	raw, err := tailSlice(tail, u32(rec[6:]), count, entrySize)
	if err != nil {
		return fmt.Errorf("list %d: %w", number, err)
	}
	list := d.lists[number][:0]
	for ; len(raw) > 0; raw = raw[entrySize:] {
		if raw[9] > byte(forkline.Removed) {
			return fmt.Errorf("list %d: state %d is unknown", number, raw[9])
		}
		list = append(list, forkline.ServerEntry{
			Server: u32(raw), Zone: raw[4], Kind: u16(raw[5:]), Cell: u16(raw[7:]),
			State:   forkline.ServerState(raw[9]),
			Weight:  float64(math.Float32frombits(u32(raw[10:]))),
			Started: f64(raw[14:]),
		})
	}
	d.lists[number], d.received[number] = list, true
	return nil
}

// decodeListChange decodes a list event, which refers to a stored server list by its number.
func (d *Decoder) decodeListChange(rec []byte, ev *forkline.Event) error {
	ev.Kind = forkline.EvList
	switch rec[12] {
	case 0:
		ev.List = forkline.ListFailed
		return nil
	case 1:
		ev.List = forkline.ListCached
	case 2:
		ev.List = forkline.ListDelta
	case 3:
		ev.List = forkline.ListFull
	default:
		return fmt.Errorf("list kind %d is unknown", rec[12])
	}
	number := u32(rec[4:])
	if number >= maxLists || !d.received[number] {
		return fmt.Errorf("list %d was never sent", number)
	}
	ev.Servers = d.lists[number]
	return nil
}

// tailSlice returns the part of the tail that holds count items of the given size in bytes, starting at offset.
func tailSlice(tail []byte, offset, count uint32, size int) ([]byte, error) {
	start, length := uint64(offset), uint64(count)*uint64(size)
	if start+length > uint64(len(tail)) {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", start, length, len(tail))
	}
	return tail[start : start+length], nil
}

// Reply collects the actions in response to one batch.
type Reply struct {
	records []byte
	tail    []byte // texts that the records refer to by offset
	count   uint32 // number of records
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() { r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0 }

// Add appends an action of the given instance.
func (r *Reply) Add(instance uint16, a *forkline.Action) {
	rec := r.appendRecord(instance)
	le := binary.LittleEndian
	code := uint16(0)
	switch a.Kind {
	case forkline.ActSend:
		code = 1
		le.PutUint32(rec[4:], a.Request)
		le.PutUint32(rec[8:], a.Server)
		le.PutUint64(rec[12:], math.Float64bits(a.Deadline))
	case forkline.ActRefuse:
		code = 2
		le.PutUint32(rec[4:], a.Request)
		le.PutUint64(rec[8:], math.Float64bits(a.Delay))
	case forkline.ActFail:
		code = 3
		le.PutUint32(rec[4:], a.Request)
	case forkline.ActCancel:
		code = 4
		le.PutUint32(rec[4:], a.Request)
		le.PutUint16(rec[8:], a.Attempt)
	case forkline.ActTimer:
		code = 5
		le.PutUint64(rec[4:], math.Float64bits(a.Delay))
		le.PutUint64(rec[12:], a.Token)
	case forkline.ActLog:
		code = 9
		r.appendText(rec, a.Text)
	case forkline.ActProbe:
		code = 6
		le.PutUint32(rec[4:], a.Server)
	case forkline.ActCloseIdle:
		code = 7
		le.PutUint32(rec[4:], a.Server)
	case forkline.ActWatchList:
		code = 11
		rec[4] = 1
	}
	le.PutUint16(rec, code)
}

// AddFault appends a record that reports the failure of the given instance.
func (r *Reply) AddFault(instance uint16, text string) {
	rec := r.appendRecord(instance)
	binary.LittleEndian.PutUint16(rec, 10)
	r.appendText(rec, text)
}

// appendRecord appends an action record with the given instance and returns it. Its other fields are 0.
func (r *Reply) appendRecord(instance uint16) []byte {
	r.records = append(r.records, make([]byte, actionSize)...)
	r.count++
	rec := r.records[len(r.records)-actionSize:]
	binary.LittleEndian.PutUint16(rec[2:], instance)
	return rec
}

// appendText appends a text to the tail and writes its offset and length to the record.
func (r *Reply) appendText(rec []byte, text string) {
	binary.LittleEndian.PutUint32(rec[4:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(rec[8:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the batch with the given number to w.
func (r *Reply) WriteTo(w io.Writer, number uint32) error {
	var head [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(head[0:], number)
	binary.LittleEndian.PutUint32(head[4:], r.count)
	binary.LittleEndian.PutUint32(head[8:], uint32(len(r.records)+len(r.tail)))
	for _, part := range [][]byte{head[:], r.records, r.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply %d: %w", number, err)
		}
	}
	return nil
}

func u16(b []byte) uint16  { return binary.LittleEndian.Uint16(b) }
func u32(b []byte) uint32  { return binary.LittleEndian.Uint32(b) }
func f64(b []byte) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b)) }
