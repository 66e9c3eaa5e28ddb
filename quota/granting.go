package quota

import "time"

// HandleClaim answers the claim of another host.
func (l *Lender) HandleClaim(now time.Time, c Claim) (ClaimReply, []Message) {
	l.hostCount = max(l.hostCount, c.Hosts)
	if p := l.peers[c.From]; p != nil && p.unanswered > maxUnanswered { // it can be reached again
		p.unanswered, p.nextClaim = 0, now
	}
	switch c.Kind {
	case ReleaseShare:
		return ClaimReply{Hosts: l.hostCount}, l.released(now, c)
	case FindLender:
		return ClaimReply{Hosts: l.hostCount, Lender: l.heardFrom(now)}, nil
	}
	var messages []Message
	held, _ := l.Held(now)
	if l.lending {
		if !precedes(c.Held, c.From, held, l.self) {
			return ClaimReply{Hosts: l.hostCount, Lender: l.self, Held: held}, nil
		}
		messages = l.stepDown(now, c.From)
	}
	return l.grantShare(now, c), messages
}

// heardFrom returns the lender that this host has heard from itself; empty if there is none. What it
// was told by others may be over, and passing that on would keep it alive.
func (l *Lender) heardFrom(now time.Time) string {
	switch {
	case l.lending:
		return l.self
	case now.Before(l.grant.until):
		return l.grant.to
	}
	return ""
}

// precedes reports whether a lender goes on lending when it meets another one.
func precedes(held int, address string, otherHeld int, otherAddress string) bool {
	return held > otherHeld || held == otherHeld && address < otherAddress
}

// grantShare grants this host's share to the lender that claims it, unless another one holds it.
func (l *Lender) grantShare(now time.Time, c Claim) ClaimReply {
	reply := ClaimReply{Hosts: l.hostCount}
	granted := now.Before(l.grant.until)
	switch {
	case now.Before(l.mayGrantFrom):
		// The lender can still be asked for tokens, which it lends from the other shares.
		l.hint = grant{to: c.From, until: now.Add(grantTime)}
	case granted && l.grant.to != c.From:
		reply.Lender = l.grant.to
	case l.grant.to == c.From && l.grant.run == c.Run && c.Number <= l.grant.number:
		// An older message. The lender may have released the share since.
	default:
		// The renewal of a grant brings no fresh tokens.
		reply.Fresh = !(granted && l.grant.run == c.Run) && l.takeFresh(now)
		mixed := granted && (l.grant.mixed || l.grant.run != c.Run)
		l.grant = grant{to: c.From, run: c.Run, number: c.Number, mixed: mixed, until: now.Add(grantTime)}
		reply.Granted = true
	}
	return reply
}

// takeFresh reports whether a new grant is fresh, and records it.
func (l *Lender) takeFresh(now time.Time) bool {
	if now.Sub(l.lastFresh) < l.bounds.freshInterval() {
		return false
	}
	l.lastFresh = now
	return true
}

// released ends the grant to a lender that no longer uses the share. It returns claims if this host
// lends next. A late release is ignored: the lender may have claimed the share again since.
func (l *Lender) released(now time.Time, c Claim) []Message {
	if l.grant.to != c.From || l.grant.run != c.Run || l.grant.mixed || c.Number <= l.grant.number {
		return nil
	}
	l.grant.number = c.Number
	if !now.Before(l.grant.until) {
		return nil
	}
	l.grant.until = now
	l.hint = grant{}
	switch c.Next {
	case l.self:
		l.start(now)
		return l.dueClaims(now)
	case "":
	default:
		l.hint = grant{to: c.Next, until: now.Add(grantTime)}
	}
	return nil
}
