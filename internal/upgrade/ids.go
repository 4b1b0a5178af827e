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
	// idSlotCount is how many ids are known at once, idWays how many of them share a bucket: where one is full its oldest
	// gives way. At 32,768 ids within idTime a bucket has 16 in the mean, and more than idWays once in some 10,000.
	idSlotCount, bucketSlots = 1 << 16, 32
	// slotSize is the size of a slot in bytes.
	slotSize = 8
	// idLifetimeSeconds is for how long an id is known, s: a minute, the longest time that a client may give a request, and the
	// second by which a stamp may be off.
	idLifetimeSeconds = 61
	// stampBits are for the time of an id in s, the others of a slot for its hash.
	stampBits = 20
	stampMask = 1<<stampBits - 1
	// clockSkewSeconds is by how much the clocks of two processes may differ, s; neverAge is the age of an empty slot.
	clockSkewSeconds, emptySlotAge = 5, stampMask
)

// IDs are the ids of requests that the processes of an agent have taken, and that must not run twice: a table in a file
// of the folder, which all of them map. A slot holds the hash of an id and the time at which it was claimed or kept,
// and is changed by compare-and-swap alone, so that no process waits for another one, also not for one that is stopped.
type IDs struct {
	slots        []uint64  // mapped for as long as the process lives
	startSeconds uint64    // the kernel's time since its start, s, which is the same for all processes, ...
	startTime    time.Time // ... at this one of the process's
}

// IDs maps the table of the folder, which is made where there is none.
func (d *Dir) IDs() (*IDs, error) {
	var ids *IDs
	err := d.locked(func() (err error) {
		ids, err = mapIDs(filepath.Join(d.path, "ids"))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("upgrade: ids: %w", err)
	}
	return ids, nil
}

func mapIDs(path string) (*IDs, error) {
	const size = idSlotCount * slotSize
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() < size { // written, and not only made longer: memory without room on the disk would end the process
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

// Claim takes an id for a request of this process. It returns false where another request has it, at whichever process,
// or had it within the last minute. Where two processes claim an id at one moment neither may get it.
func (t *IDs) Claim(id string) bool {
	bucket, tag := t.lookup(id)
	for {
		now := t.now()
		oldest, was := 0, uint64(0)
		for i := range bucket {
			slot := atomic.LoadUint64(&bucket[i])
			if slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
				return false
			}
			if i == 0 || slotAge(slot, now) > slotAge(was, now) {
				oldest, was = i, slot
			}
		}
		if atomic.CompareAndSwapUint64(&bucket[oldest], was, newSlot(tag, now)) {
			return !t.claimedConcurrently(bucket, oldest, tag, now)
		}
	}
}

// claimedConcurrently tells whether another process has claimed the same id in another slot meanwhile, and gives this one
// back then: that process sees the same, or came first.
func (t *IDs) claimedConcurrently(bucket []uint64, mine int, tag, now uint64) bool {
	for i := range bucket {
		slot := atomic.LoadUint64(&bucket[i])
		if i != mine && slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
			atomic.CompareAndSwapUint64(&bucket[mine], newSlot(tag, now), 0)
			return true
		}
	}
	return false
}

// Release gives an id back whose request has not run: it may come again.
func (t *IDs) Release(id string) { t.replace(id, func(_, _ uint64) uint64 { return 0 }) }

// Retain has an id known for a minute from now on, as its request is over and may have run.
func (t *IDs) Retain(id string) { t.replace(id, newSlot) }

// replace changes the slot of an id that this process has claimed; one that had to give way is not there any more.
func (t *IDs) replace(id string, with func(tag, now uint64) uint64) {
	bucket, tag := t.lookup(id)
	now := t.now()
	for i := range bucket {
		slot := atomic.LoadUint64(&bucket[i])
		if slot>>stampBits == tag && slotAge(slot, now) <= idLifetimeSeconds {
			atomic.CompareAndSwapUint64(&bucket[i], slot, with(tag, now))
			return
		}
	}
}

// lookup returns the bucket of an id, and what a slot holds of its hash.
func (t *IDs) lookup(id string) (bucket []uint64, tag uint64) {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	// The finalizer of MurmurHash3: FNV spreads the last bytes of an id, where ids differ, over too few bits.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	first := int(sum%(idSlotCount/bucketSlots)) * bucketSlots
	return t.slots[first : first+bucketSlots], sum >> stampBits
}

// now is the time that all processes of the machine count, s, as stamps have it: never 0, which is no id's.
func (t *IDs) now() uint64 {
	return (t.startSeconds+uint64(time.Since(t.startTime)/time.Second))%stampMask + 1
}

// newSlot is what a slot holds for an id.
func newSlot(tag, now uint64) uint64 { return tag<<stampBits | now }

// slotAge is for how long a slot has held its id, s. What another process has just stamped may seem to come: its clock is
// rounded otherwise.
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
