package agent

import (
	"bufio"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Symptom: a granted slot stands idle for one lease, or is granted to the
// wrong process. Sequence: grants are handed to connections that wait, while
// one of them ends and the router restarts. Cause: the grant would stay with a
// connection that never writes again.
func TestCarriedGrantGoesOutAtOnce(t *testing.T) {
	counted := 0
	carriers := newCarriers(func(bytes int) { counted += bytes })
	key := carrierKey{router: routerA, incarnation: 1}
	grants := []*rpc.Grant{{Number: 7, Account: "a", LeaseMs: 1000}}
	if carriers.carry(key, grants) {
		t.Fatal("carried without a connection")
	}
	held := newAnswer()
	reader := newFrameReader(newID(), held, time.Hour, func() {})
	reader.carryGrants(carriers, key)
	frames := make(chan *rpc.AnswerFrame)
	go func() {
		defer close(frames)
		for stream := bufio.NewReader(reader); ; {
			frame := &rpc.AnswerFrame{}
			if protodelim.UnmarshalFrom(stream, frame) != nil {
				return
			}
			frames <- frame
		}
	}()
	for !carriers.carry(key, grants) {
		time.Sleep(time.Millisecond) // until the reader waits
	}
	if carriers.carry(carrierKey{router: routerA, incarnation: 2}, grants) {
		t.Error("carried to another process of the router")
	}
	frame := <-frames
	if len(frame.Grants) != 1 || frame.Grants[0].Number != 7 || frame.GetHeartbeat() == nil {
		t.Fatalf("frame %v", frame)
	}
	if counted == 0 {
		t.Error("the bytes of the grant are not counted as control traffic")
	}
	held.setHead(&rpc.AnswerHead{Status: 200})
	held.close(Seal{State: rpc.RequestState_REQUEST_STATE_COMPLETE})
	for frame := range frames {
		if len(frame.Grants) > 0 {
			t.Errorf("the grant went out twice: %v", frame)
		}
	}
	if carriers.carry(key, grants) || len(carriers.waiting) != 0 {
		t.Error("carried by a connection that has ended")
	}
}

// Symptom: a grant vanishes in the moment in which its connection has data.
// Sequence: the answer grows while a grant is handed over. Cause: the reader
// wakes for the one and forgets the other.
func TestCarriedGrantIsNotForgotten(t *testing.T) {
	carriers := newCarriers(nil)
	key := carrierKey{router: routerA, incarnation: 1}
	reader := newFrameReader(newID(), newAnswer(), time.Hour, func() {})
	reader.carryGrants(carriers, key)
	for number := range uint64(3) {
		carriers.enter(reader)
		for part := range uint64(2) {
			if !carriers.carry(key, []*rpc.Grant{{Number: 2*number + part}}) {
				t.Fatal("not carried")
			}
		}
		got := carriers.leave(reader)
		if len(got) != 2 || got[0].Number != 2*number || got[1].Number != 2*number+1 {
			t.Fatalf("got %v", got)
		}
		if len(reader.woken) != 0 {
			t.Fatal("the reader would wake for nothing")
		}
	}
}

// Symptom: slots stand idle for one lease after the other while requests wait.
// Sequence: grants ride on a connection that the router leaves unread, because
// its caller is slow; the router is heard of meanwhile. Cause: the agent would
// go on sending that way, and the router would think itself offered.
func TestLostCarriedGrantIsFollowedByCalls(t *testing.T) {
	h := newHarness(testPolicy(settings.KindModel))
	h.step(h.offer(routerA, 1, 2))
	first := sentGrants(t, h)
	if first.ByCall || first.Incarnation != 1 {
		t.Fatalf("sent %+v", first)
	}
	h.advance(100 * time.Millisecond)
	h.step(h.offer(routerB, 1, 0), h.offer(routerA, 2, 3)) // heard of meanwhile
	h.advance(time.Second + GrantMargin)
	again := sentGrants(t, h)
	if !again.ByCall || len(again.Grants) != 2 {
		t.Errorf("sent %+v, want both slots by call", again)
	}
	in := h.offer(routerA, 3, 1)
	if noted, ok := h.ask(in.Ticket, in).(OfferNoted); !ok || !noted.Resend {
		t.Errorf("noted %+v, want all offers again", noted)
	}
	h.step(GrantAnswered{
		Router: routerA, Incarnation: 1,
		Declined: []uint64{again.Grants[0].Number, again.Grants[1].Number},
		Offers:   []AccountOffer{{Account: "a"}},
	})
	h.advance(GrantCallTime)
	h.step(h.offer(routerA, 4, 2))
	if last := sentGrants(t, h); last.ByCall {
		t.Error("calls for good")
	}
}

func sentGrants(t *testing.T, h *harness) SendGrants {
	t.Helper()
	for _, command := range h.commands {
		if sent, ok := command.(SendGrants); ok {
			return sent
		}
	}
	t.Fatalf("no grants among %+v", h.commands)
	return SendGrants{}
}

// Symptom: an agent grants in vain to a router again and again, or forgets work
// that waits there. Sequence: a router declines a grant, and says at once or in
// a newer message that its account has work again. Cause: declining says that
// nothing waits, and a message that comes late is not to say so.
func TestDeclinedGrantDropsItsOffer(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Offered)
		want   uint32
	}{
		"nothing waits":       {func(*Offered) {}, 5},
		"more waits":          {func(in *Offered) { in.Offers = []AccountOffer{{Account: "a", Count: 7}} }, 12},
		"an older message":    {func(in *Offered) { in.Sequence = 1 }, 10},
		"another router":      {func(in *Offered) { in.Router = routerB }, 10},
		"an unknown number":   {func(in *Offered) { in.Declined = []uint64{1} }, 10},
		"an earlier process":  {func(in *Offered) { in.Incarnation = 0 }, 10},
		"of another account":  {func(in *Offered) { in.Offers = []AccountOffer{{Account: "b", Count: 7}} }, 5},
		"withdrawn in so far": {func(in *Offered) { in.Offers = []AccountOffer{{Account: "a"}} }, 5},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(testPolicy(settings.KindModel))
			h.advance(2*MaxClockSkew + time.Millisecond) // ids made from now on are known to be new
			fill(t, h)
			h.step(h.offer(routerA, 2, 6))
			h.step(h.offer(routerB, 2, 5))
			for id := range h.running {
				h.end(id, RunComplete)
				break
			}
			grant := sentGrants(t, h).Grants[0].Number
			in := Offered{Ticket: h.ticket(), Router: routerA, Incarnation: 1, Sequence: 3, Declined: []uint64{grant}}
			test.change(&in)
			h.world.takeOffered(h.now, in) // without the grants that a whole step would make
			got := uint32(0)
			for _, address := range []fleet.Address{routerA, routerB} {
				if current := h.world.routers.Get(address).offers["a"]; current != nil {
					got += current.count
				}
			}
			if got != test.want {
				t.Errorf("%d requests count as offered by both routers, want %d", got, test.want)
			}
		})
	}
}
