package peering

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// noPulls is a network on which no fleet state can be pulled.
type noPulls struct{ Network }

func (noPulls) Pull(context.Context, fleet.Address, *peeringpb.PullRequest) (*peeringpb.PullReply, error) {
	return nil, errors.New("not reachable")
}

// receive passes a message to all routers of the fleet.
func receive(f *simNetwork, data []byte) {
	for _, router := range f.routers {
		router.puller.network = noPulls{}
		router.receiver().Heartbeat(context.Background(), data)
	}
}

// checkFleet runs the fleet and checks that all routers hear each other, and that their heartbeats
// fit into datagrams.
func checkFleet(t rapid.TB, f *simNetwork) {
	largest := 0
	f.onData = func(data []byte, _ *Manager) { largest = max(largest, len(data)) }
	f.run(settleRounds / 2)
	if largest > maxDatagramBytes {
		t.Fatalf("a heartbeat has %d bytes, a datagram %d at most", largest, maxDatagramBytes)
	}
	for address, router := range f.routers {
		reachable := router.reachableRouters(f.now)
		for _, other := range f.addresses() {
			if other != address && !lo.Contains(reachable, other) {
				t.Fatalf("%s does not hear %s", address, other)
			}
		}
	}
}

// Guards against routers that lose each other because of one odd message at their port: what a router
// takes from it and hands on must not make its own heartbeats larger than a datagram.
func TestOddBeatDoesNotSeparateRouters(t *testing.T) {
	const long = maxDatagramBytes - 100
	text := strings.Repeat("x", long)
	encoded := func(beat *peeringpb.Beat) []byte {
		beat.Incarnation, beat.Clock = 1, 1
		if beat.Address == "" {
			beat.Address = "10.9.9.9:1"
		}
		return lo.Must(proto.Marshal(beat))
	}
	nested := []byte{}
	for range 10_001 {
		nested = protowire.AppendTag(nested, 1000, protowire.StartGroupType)
	}
	for name, data := range map[string][]byte{
		"long address":         encoded(&peeringpb.Beat{Address: text}),
		"long zone":            encoded(&peeringpb.Beat{Zone: text}),
		"long router":          encoded(&peeringpb.Beat{Routers: []string{text}}),
		"long evacuation":      encoded(&peeringpb.Beat{Evacuations: &peeringpb.Evacuations{Zones: []string{text}, Era: 9, Revision: 9}}),
		"long returned zone":   encoded(&peeringpb.Beat{Evacuations: &peeringpb.Evacuations{Returned: []string{text}, ReturnedAge: []int64{1}}}),
		"long account":         encoded(&peeringpb.Beat{Uses: &peeringpb.AccountUses{Account: []string{text}, Asked: []uint64{1 << 40}, Got: []uint64{1}, Idle: []uint64{1}}}),
		"long account in sums": encoded(&peeringpb.Beat{Sums: &peeringpb.Sums{Zones: []string{"z9"}, Uses: &peeringpb.AccountUses{Account: []string{text}, Asked: []uint64{1 << 40}, Got: []uint64{1}, Idle: []uint64{1}}}}),
		"long zone in changes": encoded(&peeringpb.Beat{SumChanges: &peeringpb.SumChanges{Zones: []string{text}}}),
		"long zone in sums":    encoded(&peeringpb.Beat{Sums: &peeringpb.Sums{Zones: []string{text}}}),
		"nested too deeply":    nested,
		"not UTF-8":            protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "\xff"),
		"length beyond end":    protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.BytesType), math.MaxUint64),
		"text":                 []byte("GET / HTTP/1.1\r\n\r\n"),
		"nothing":              {},
		"address of no port":   encoded(&peeringpb.Beat{Address: "somewhere"}),
		"address of port 0":    encoded(&peeringpb.Beat{Address: "10.9.9.9:0"}),
		"negative ages":        encoded(&peeringpb.Beat{ListAge: math.MinInt64, ConfigAge: math.MinInt64, ContactAge: math.MinInt64}),
		"greatest ages":        encoded(&peeringpb.Beat{ListAge: math.MaxInt64, ConfigAge: math.MaxInt64, ContactAge: math.MaxInt64}),
		"sums and changes": encoded(&peeringpb.Beat{
			Sums:       &peeringpb.Sums{Zones: []string{"z9"}},
			SumChanges: &peeringpb.SumChanges{Base: -1, Account: []string{"a"}, AccountNumber: []uint32{1}},
		}),
		"greatest everything": encoded(&peeringpb.Beat{Loads: &peeringpb.Loads{Backend: []uint32{7}, Running: []uint32{math.MaxUint32}, Pending: []uint32{math.MaxUint32}, Memory: []uint32{math.MaxUint32}}}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimNetwork(t, 2, 12)
			for _, router := range f.routers {
				router.options.State.SetEvacuations(nil, knowledge.Position{Era: 1, Revision: 1}, f.now)
			}
			receive(f, data)
			checkFleet(t, f)
		})
	}
}

// Guards against a process that ends because of a message: no combination of fields, and no damaged
// one, may make a router panic, when it arrives or when heartbeats are sent later.
func TestNoBeatEndsTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimNetwork(t, 2, 3)
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			beat := &peeringpb.Beat{}
			fill(t, beat.ProtoReflect())
			beat.Address = rapid.SampledFrom([]string{"10.0.1.1:1", "10.9.9.9:1", "", "x"}).Draw(t, "sender")
			data := lo.Must(proto.Marshal(beat))
			if len(data) > 0 && rapid.Bool().Draw(t, "damaged") {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			}
			receive(f, data)
			f.run(2)
		}
	})
}

// fill sets some fields of the message to extreme or small values.
func fill(t *rapid.T, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if rapid.IntRange(0, 2).Draw(t, string(field.Name())) == 0 {
			continue
		}
		switch {
		case field.IsList():
			list := message.Mutable(field).List()
			for range rapid.IntRange(0, 3).Draw(t, "length") {
				if field.Message() != nil {
					fill(t, list.AppendMutable().Message())
					continue
				}
				list.Append(scalar(t, field))
			}
		case field.Message() != nil:
			fill(t, message.Mutable(field).Message())
		default:
			message.Set(field, scalar(t, field))
		}
	}
}

func scalar(t *rapid.T, field protoreflect.FieldDescriptor) protoreflect.Value {
	number := rapid.SampledFrom([]uint64{0, 1, 2, 7, math.MaxInt32, math.MaxUint32, math.MaxInt64, math.MaxUint64}).Draw(t, "number")
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(number%2 == 1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom([]string{"", "x", "zone0", "zone1", "10.0.0.2:1", "\u2028"}).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(number)})
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(number)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(rapid.SampledFrom([]float32{0, 1, float32(math.Inf(1)), float32(math.NaN())}).Draw(t, "float"))
	}
	panic(fmt.Sprint("no value for a field of kind ", field.Kind()))
}
