package confsync

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// newLoadedSyncer returns a Syncer with as many objects as the design allows for:
// 2500 groups and 5000 classes.
func newLoadedSyncer(b *testing.B) *Syncer {
	d := directory.New(ownership.Instance{Name: "i", Address: "127.0.0.1:1", DataCentre: "a"})
	var objects []platform.Object
	for i := range 2500 {
		objects = append(objects, platform.Object{
			Kind: platform.KindGroup, Name: fmt.Sprintf("group-%04d", i), Data: []byte(`{"term":1}`),
		})
	}
	for i := range 5000 {
		objects = append(objects, platform.Object{
			Kind: platform.KindClass, Name: fmt.Sprintf("service-%d.class-%04d", i/10, i), Data: classData(i),
		})
	}
	for i := range objects {
		objects[i].Version = uint64(1000 + i)
	}
	if _, err := d.Apply(objects); err != nil {
		b.Fatal(err)
	}
	s := New(Config{Directory: d, Log: zerolog.Nop()})
	b.Cleanup(s.pushes.StopAndWait)
	return s
}

func classData(i int) []byte {
	return fmt.Appendf(nil, `{"name":"class-%04d","service":"service-%d","rank":"normal","served_within":"1s"}`, i, i/10)
}

// BenchmarkPush measures the processing of a pushed class at the receiver, without
// I/O, and the size of a push to a child with 53 instances below it, as in a data
// centre with 433 instances.
func BenchmarkPush(b *testing.B) {
	s := newLoadedSyncer(b)
	o := &wire.Object{Kind: platform.KindClass, Name: "service-0.class-0001", Data: classData(1)}
	req := &wire.PushObjectsRequest{From: "instance-0001", Objects: []*wire.Object{o}}
	b.ResetTimer()
	for i := range b.N {
		o.Version = uint64(1e6 + i)
		if _, err := s.PushObjects(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 53 {
		req.ForwardTo = append(req.ForwardTo, fmt.Sprintf("instance-%04d", i))
	}
	b.ReportMetric(float64(proto.Size(req)), "B/push")
}

// BenchmarkFullComparison measures a fetch that compares all versions and finds no
// difference, and the size of its request.
func BenchmarkFullComparison(b *testing.B) {
	s := newLoadedSyncer(b)
	req := &wire.FetchObjectsRequest{Have: s.heldVersions()}
	b.ResetTimer()
	for range b.N {
		resp, err := s.FetchObjects(context.Background(), req)
		if err != nil || len(resp.GetObjects()) != 0 {
			b.Fatal(len(resp.GetObjects()), err)
		}
	}
	b.ReportMetric(float64(proto.Size(req)), "B/request")
}
