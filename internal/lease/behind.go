package lease

// behind is the index of the holders that may hold up a stage, so that asking at each step whether the next one may come
// costs no look at each holder each time. Times never go back. Its invariants, which the tests name:
//  1. Every holder of the desk that acts on a stage under this one, or goes by a word on servers of one, is in ring; one
//     that is not can come to do so by a Grant only, which lists it.
//  2. No holder is in ring twice, and none that the desk has forgotten: it has as many places as the desk at the most.
//  3. Those before at were looked at since at was 0 last and did not hold up the stage then; of those from at on nothing
//     is known. So a stage that all take up costs a look or two at each holder, in whatever order they do.
//
// Who is listed may yet not hold up the stage: its settings are over, and its word on servers is not another. That is
// looked at each time, as Words may come to say yes.
type behind struct {
	known bool // it was made; the zero behind was not
	stage uint64
	ring  []*held
	at    int
}

// mayHoldUp tells whether a holder can hold up a stage, whatever its word on servers is; if not, it never will without
// another grant.
func (h *held) mayHoldUp(now float64, stage uint64) bool {
	s := h.under(stage)
	return h.has < stage && max(s.until, s.lists) > now
}

// list takes in a holder that may hold up the stage.
func (b *behind) list(now float64, h *held) {
	if b.known && !h.listed && h.mayHoldUp(now, b.stage) {
		h.listed = true
		b.ring = append(b.ring, h)
	}
}

// drop takes out the holder at at; the last takes its place.
func (b *behind) drop() {
	last := len(b.ring) - 1
	b.ring[b.at].listed = false
	b.ring[b.at], b.ring[last] = b.ring[last], nil
	b.ring = b.ring[:last]
}

// acts tells whether any of the span holds: the settings, or a word on servers that is another.
func (s span) acts(now float64, words EndpointsChanged, has, to uint64) bool {
	return s.until > now || s.lists > now && words(has, to)
}

// MayAdvance tells what Next does first, whether the stage behind this one may come, and nobody's name. All holders are
// looked at once a stage; beyond that once or twice each until they have taken it up, and again where it says yes.
func (d *Lessor) MayAdvance(now float64, stage uint64, words EndpointsChanged) bool {
	if stage > 0 && (span{d.quiet, d.quietOn}).acts(now, words, stage-1, stage+1) {
		return false
	}
	b := &d.behind
	if !b.known || b.stage != stage {
		*b = behind{known: true, stage: stage, ring: b.ring[:0]}
		for _, h := range d.holders {
			h.listed = false
			b.list(now, h)
		}
	}
	for {
		from := b.at
		for b.at < len(b.ring) {
			switch h := b.ring[b.at]; {
			case !h.mayHoldUp(now, stage):
				b.drop()
			case h.under(stage).acts(now, words, h.has, stage+1):
				return false
			default:
				b.at++
			}
		}
		b.at = 0
		if from == 0 {
			return true
		}
	}
}
