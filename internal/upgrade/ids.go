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
	// idSlotCount is the capacity of the table's first part, in ids. Processes of earlier versions know this part only.
	idSlotCount = 1 << 16
	// bucketSlots is the number of slots of a bucket in the first part, moreSlots that in the second part. With 2,000 ids a
	// second a bucket has 60 ids on average, and one in a million million has more than both.
	bucketSlots = 32
	moreSlots   = 96
	bucketCount = idSlotCount / bucketSlots
	// allSlotCount is the number of slots in both parts.
	allSlotCount = bucketCount * (bucketSlots + moreSlots)
	// slotBytes is the size of a slot.
	slotBytes = 8
	// idLifetimeSeconds is how long an id is kept: one minute, the longest deadline that a client may set,
	// plus one second, by which a time stamp may be off.
	idLifetimeSeconds = 61
	// stampBits is the number of bits of a slot that hold the time stamp of its id, in seconds. The others
	// hold its hash.
	stampBits = 20
	stampMask = 1<<stampBits - 1
	// clockSkewSeconds is the maximum difference between the time stamps of two processes.
	clockSkewSeconds = 5
	// emptySlotAge is the age of an empty slot.
	emptySlotAge = stampMask
)

// IDs is the table of the ids of requests that the agent's processes have accepted and that must not run
// twice. It is a file of the folder, which all processes map. A slot holds the hash of an id and the time at
// which it was claimed or retained. Slots are changed by compare-and-swap only, so that no process waits for
// another, not even for a stopped one.
type IDs struct {
	slots        []uint64  // both parts, mapped until the process ends
	startSeconds uint64    // the kernel's monotonic clock, which all processes share, at startTime
	startTime    time.Time // the same moment on this process's clock
}

// IDs maps the folder's table, and creates it if there is none.
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

// mapIDs maps the table in a file. The caller holds the folder's lock.
func mapIDs(path string) (*IDs, error) {
	const size = allSlotCount * slotBytes
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
		// Written, not just extended: access to a mapped page for which the disk has no space would kill the
		// process.
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
	slots := unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(mem))), allSlotCount)
	return &IDs{slots: slots, startSeconds: uint64(now.Sec), startTime: time.Now()}, nil
}

// Claim claims an id for a request of this process. It returns false if another request, of any process,
// holds the id or held it within the last minute. If two processes claim an id at the same time, it may
// return false to both. It also returns false if the id's bucket is full of ids that are younger than that: none of them may
// be forgotten, and an id that is not kept must not run.
func (t *IDs) Claim(id string) bool {
	bucket, tag := t.lookup(id)
	for {
		now := t.now()
		free := -1
		freeSlot := uint64(0)
		for i := range slotsPerID {
			slot := atomic.LoadUint64(bucket.slot(i))
			switch expired := slotAge(slot, now) > idLifetimeSeconds; {
			case !expired && slot>>stampBits == tag:
				return false
			case expired && free < 0:
				free = i
				freeSlot = slot
			}
		}
		if free < 0 {
			return false
		}
		if atomic.CompareAndSwapUint64(bucket.slot(free), freeSlot, newSlot(tag, now)) {
			return !t.claimedConcurrently(bucket, free, tag, now)
		}
	}
}

// slotsPerID is the number of slots in which an id may be.
const slotsPerID = bucketSlots + moreSlots

// idBucket are the slots in which an id may be, of both parts of the table.
type idBucket struct{ first, more []uint64 }

// slot returns one of slotsPerID slots.
func (b idBucket) slot(i int) *uint64 {
	if i < bucketSlots {
		return &b.first[i]
	}
	return &b.more[i-bucketSlots]
}

// claimedConcurrently reports whether another process has claimed the same id in another slot meanwhile. If
// so, it releases its own slot; the other process was first, or does the same.
func (t *IDs) claimedConcurrently(bucket idBucket, own int, tag, now uint64) bool {
	for i := range slotsPerID {
		slot := atomic.LoadUint64(bucket.slot(i))
		if i != own && slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
			atomic.CompareAndSwapUint64(bucket.slot(own), newSlot(tag, now), 0)
			return true
		}
	}
	return false
}

// Release releases an id whose request has not run.
func (t *IDs) Release(id string) { t.replace(id, func(_, _ uint64) uint64 { return 0 }) }

// Retain keeps the id of a completed request that may have run for another minute from now on.
func (t *IDs) Retain(id string) { t.replace(id, newSlot) }

// replace changes the slot of an id that this process has claimed, unless the id has expired.
func (t *IDs) replace(id string, content func(tag, now uint64) uint64) {
	bucket, tag := t.lookup(id)
	now := t.now()
	for i := range slotsPerID {
		slot := atomic.LoadUint64(bucket.slot(i))
		if slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
			atomic.CompareAndSwapUint64(bucket.slot(i), slot, content(tag, now))
			return
		}
	}
}

// lookup returns the bucket of an id, and the part of its hash that a slot holds.
func (t *IDs) lookup(id string) (bucket idBucket, tag uint64) {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	// The finalizer of MurmurHash3: FNV spreads the last bytes of an id, in which ids differ, over too few
	// bits.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	number := int(sum % bucketCount)
	first, more := number*bucketSlots, idSlotCount+number*moreSlots
	return idBucket{t.slots[first : first+bucketSlots], t.slots[more : more+moreSlots]}, sum >> stampBits
}

// now returns the current time stamp, by the clock that all processes of the machine share. It is never 0,
// the stamp of an empty slot.
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
