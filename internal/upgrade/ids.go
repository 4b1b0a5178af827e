package upgrade

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	idsFile = "ids"
	// idSlotCount is how many ids are known at once.
	idSlotCount = 1 << 16
	// bucketSlots is how many slots share a bucket; in a full one the oldest id is replaced. At 32,768 ids within
	// idLifetimeSeconds a bucket has 16 ids in the mean, and more than bucketSlots about once in 10,000.
	bucketSlots = 32
	bucketCount = idSlotCount / bucketSlots
	// slotBytes is the size of a slot.
	slotBytes = 8
	// idLifetimeSeconds is for how long an id is known: a minute, the longest deadline that a client may set, and the
	// second by which a stamp may be off.
	idLifetimeSeconds = 61
	// stampBits are the bits of a slot for the time of its id, in seconds. The others are for its hash.
	stampBits = 20
	stampMask = 1<<stampBits - 1
	// clockSkewSeconds is by how much the clocks of two processes may differ.
	clockSkewSeconds = 5
	// emptySlotAge is the age of an empty slot.
	emptySlotAge = stampMask
)

// IDs are the ids of requests that the agent's processes have accepted and that must not run twice: a table in a file
// of the folder, which all of them map. A slot holds the hash of an id and the time at which it was claimed or
// retained. It is changed by compare-and-swap alone, so that no process waits for another, even for a stopped one.
type IDs struct {
	slots        []uint64  // mapped for as long as the process lives
	startSeconds uint64    // the kernel's monotonic time, which is the same for all processes, at startTime
	startTime    time.Time // of this process's clock
}

// IDs maps the folder's table, and creates it where there is none.
func (d *Dir) IDs() (*IDs, error) {
	var ids *IDs
	err := d.locked(func() (err error) {
		ids, err = mapIDs(filepath.Join(d.path, idsFile))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("upgrade: ids: %w", err)
	}
	return ids, nil
}

// mapIDs maps the table in a file. The folder's lock is held.
func mapIDs(path string) (*IDs, error) {
	const size = idSlotCount * slotBytes
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() < size {
		// Written, not only extended: access to a mapped page without space on the disk would end the process.
		if _, err := f.WriteAt(make([]byte, size-info.Size()), info.Size()); err != nil {
			return nil, err
		}
	}
	mem, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, os.NewSyscallError("mmap", err)
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return nil, os.NewSyscallError("clock_gettime", err)
	}
	slots := unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(mem))), idSlotCount)
	return &IDs{slots: slots, startSeconds: uint64(now.Sec), startTime: time.Now()}, nil
}

// Claim takes an id for a request of this process. It returns false if another request, of any process, has it or had
// it within the last minute. If two processes claim an id at the same time, it may return false for both.
func (t *IDs) Claim(id string) bool {
	bucket, tag := t.lookup(id)
	for {
		now := t.now()
		oldest := 0
		oldestSlot := uint64(0)
		for i := range bucket {
			slot := atomic.LoadUint64(&bucket[i])
			if slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
				return false
			}
			if i == 0 || slotAge(slot, now) > slotAge(oldestSlot, now) {
				oldest = i
				oldestSlot = slot
			}
		}
		if atomic.CompareAndSwapUint64(&bucket[oldest], oldestSlot, newSlot(tag, now)) {
			return !t.claimedConcurrently(bucket, oldest, tag, now)
		}
	}
}

// claimedConcurrently reports whether another process has claimed the same id in another slot meanwhile. It then
// releases the own slot; the other process was first, or does the same.
func (t *IDs) claimedConcurrently(bucket []uint64, own int, tag, now uint64) bool {
	for i := range bucket {
		slot := atomic.LoadUint64(&bucket[i])
		if i != own && slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
			atomic.CompareAndSwapUint64(&bucket[own], newSlot(tag, now), 0)
			return true
		}
	}
	return false
}

// Release gives back an id whose request has not run.
func (t *IDs) Release(id string) { t.replace(id, func(_, _ uint64) uint64 { return 0 }) }

// Retain has the id of a completed request that may have run known for a minute from now on.
func (t *IDs) Retain(id string) { t.replace(id, newSlot) }

// replace changes the slot of an id that this process has claimed, unless another id has replaced it.
func (t *IDs) replace(id string, content func(tag, now uint64) uint64) {
	bucket, tag := t.lookup(id)
	now := t.now()
	for i := range bucket {
		slot := atomic.LoadUint64(&bucket[i])
		if slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
			atomic.CompareAndSwapUint64(&bucket[i], slot, content(tag, now))
			return
		}
	}
}

// lookup returns the bucket of an id, and the part of its hash that a slot holds.
func (t *IDs) lookup(id string) (bucket []uint64, tag uint64) {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	// The finalizer of MurmurHash3: FNV spreads the last bytes of an id, in which ids differ, over too few bits.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	first := int(sum%bucketCount) * bucketSlots
	return t.slots[first : first+bucketSlots], sum >> stampBits
}

// now returns the stamp of the time that all processes of the machine share. It is never 0, the stamp of an empty
// slot.
func (t *IDs) now() uint64 {
	seconds := uint64(time.Since(t.startTime) / time.Second)
	return (t.startSeconds+seconds)%stampMask + 1
}

// newSlot returns the content of a slot.
func newSlot(tag, now uint64) uint64 { return tag<<stampBits | now }

// slotAge returns the age of a slot in seconds. A stamp that another process has just written may be up to
// clockSkewSeconds in the future; its age is 0.
func slotAge(slot, now uint64) uint64 {
	stamp := slot & stampMask
	if stamp == 0 {
		return emptySlotAge
	}
	age := (now + stampMask - stamp) % stampMask
	if age > stampMask-clockSkewSeconds {
		return 0
	}
	return age
}
