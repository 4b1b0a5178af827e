package zkwire

import (
	"encoding/hex"
	"errors"
	"strings"
	"testing"
)

// The expected bytes are derived by hand from the definitions of the records.
func TestRecordBytes(t *testing.T) {
	for name, test := range map[string]struct {
		got  []byte
		want string
	}{
		"connect": {Frame((&Connect{LastZxid: 0x0102, TimeoutMs: 6000, Password: make([]byte, 16), HasReadOnly: true}).AppendRequest),
			"0000002d 00000000 0000000000000102 00001770 0000000000000000 00000010 00000000000000000000000000000000 00"},
		"connected": {Frame((&Connect{TimeoutMs: 4000, Session: 0x1122, Password: []byte{1, 2}, HasReadOnly: true, ReadOnly: true}).AppendResponse),
			"00000017 00000000 00000fa0 0000000000001122 00000002 0102 01"},
		"ping": {Frame(func(b []byte) []byte { return AppendRequest(b, XidPing, OpPing) }), "00000008 fffffffe 0000000b"},
		"getChildren2": {Frame(func(b []byte) []byte {
			return AppendBool(AppendString(AppendRequest(b, 1, OpGetChildren2), "/a"), true)
		}), "0000000f 00000001 0000000c 00000002 2f61 01"},
		"event": {Frame(func(b []byte) []byte {
			return (&WatchEvent{NodeDeleted, SyncConnected, "/a"}).Append(ReplyHeader{XidEvent, -1, OK}.Append(b))
		}), "0000001e ffffffff ffffffffffffffff 00000000 00000002 00000003 00000002 2f61"},
		"create": {Frame(func(b []byte) []byte {
			b = AppendBuffer(AppendString(AppendRequest(b, 2, OpCreate), "/a"), []byte{9})
			return AppendInt(AppendACLs(b, OpenACL), FlagEphemeral)
		}), "00000032 00000002 00000001 00000002 2f61 00000001 09 00000001 0000001f 00000005 776f726c64 00000006 616e796f6e65 00000001"},
		"setWatches2": {Frame(func(b []byte) []byte {
			return (&SetWatches{Zxid: 5, Data: []string{"/a"}, Recursive: []string{"/"}}).Append(AppendRequest(b, XidSetWatches, OpSetWatches2), true)
		}), "0000002f fffffff8 00000069 0000000000000005 00000001 00000002 2f61 00000000 00000000 00000000 00000001 00000001 2f"},
		"end of a multi": {MultiHeader{Type: OpError, Done: true, Err: -1}.Append(nil), "ffffffff 01 ffffffff"},
	} {
		if got := hex.EncodeToString(test.got); got != strings.ReplaceAll(test.want, " ", "") {
			t.Errorf("%s:\n got %s\nwant %s", name, got, strings.ReplaceAll(test.want, " ", ""))
		}
	}
}

// Decoding returns what was encoded; a truncated record is malformed.
func TestRoundTrip(t *testing.T) {
	stat := Stat{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	b := (&Connect{LastZxid: 9, TimeoutMs: 1, Session: 2, Password: []byte("pw")}).AppendRequest(nil)
	b = stat.Append(AppendStrings(AppendACLs(b, OpenACL), []string{"a", "", "c"}))
	read := func(b []byte) (Connect, []ACL, []string, Stat, error) {
		r := NewReader(b)
		c := Connect{LastZxid: int64(r.Int()) + r.Long(), TimeoutMs: r.Int(), Session: r.Long(), Password: r.Buffer()}
		acl, names, s := r.ACLs(), r.Strings(), r.Stat()
		return c, acl, names, s, r.Err()
	}
	c, acl, names, s, err := read(b)
	if err != nil || c.LastZxid != 9 || string(c.Password) != "pw" || len(acl) != 1 || acl[0] != OpenACL[0] || strings.Join(names, ",") != "a,,c" || s != stat {
		t.Errorf("%+v %v %v %+v %v", c, acl, names, s, err)
	}
	for i := range b {
		if _, _, _, _, err := read(b[:i]); !errors.Is(err, ErrMalformed) {
			t.Errorf("truncated at %d: %v", i, err)
		}
	}
}

// An excessive length or count is an error and causes no large allocation.
func TestLengthsAreBounded(t *testing.T) {
	for name, text := range map[string]string{"buffer of 2 GB": "7fffffff", "buffer of -2": "fffffffe", "truncated": "0000"} {
		b, _ := hex.DecodeString(text)
		r := NewReader(b)
		if r.Buffer(); !errors.Is(r.Err(), ErrMalformed) {
			t.Errorf("%s: %v", name, r.Err())
		}
		for what, read := range map[string]func(*Reader){"strings": func(r *Reader) { r.Strings() }, "ACLs": func(r *Reader) { r.ACLs() }} {
			r := NewReader(b)
			if n := testing.AllocsPerRun(1, func() { read(r) }); !errors.Is(r.Err(), ErrMalformed) || n > 20 {
				t.Errorf("%s of %s: %v, %v allocations", what, name, r.Err(), n)
			}
		}
	}
}

func FuzzReader(f *testing.F) {
	stat := Stat{Czxid: 5}
	f.Add(stat.Append(AppendStrings(nil, []string{"a", "b"})))
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, read := range []func(*Reader) int{
			func(r *Reader) int { n := len(r.Strings()); r.Stat(); return n },
			func(r *Reader) int { return len(r.ACLs()) },
			func(r *Reader) int { r.Connect(true); return 0 },
			func(r *Reader) int { w := r.SetWatches(true); return len(w.Data) + len(w.Recursive) },
			func(r *Reader) int { r.ReplyHeader(); r.WatchEvent(); return 0 },
			func(r *Reader) int { r.MultiHeader(); r.Buffer(); return 0 },
		} {
			if n := read(NewReader(b)); n > len(b) {
				t.Fatalf("%d elements of %d bytes", n, len(b))
			}
		}
	})
}
